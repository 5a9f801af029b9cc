//! Counts the bytes sent by simulated instances.

use std::collections;

use coltsfoot_types::name;
use coltsfoot_wire::{codec, member, peer};

/// Counts encoded bytes by index of the sending instance.
#[derive(Clone)]
pub(super) struct TrafficMeter {
    codec: codec::MessageCodec,
    bytes: collections::BTreeMap<usize, u64>,
}

impl Default for TrafficMeter {
    fn default() -> Self {
        let codec = codec::MessageCodec::new("schedule");
        Self { codec, bytes: collections::BTreeMap::new() }
    }
}

impl TrafficMeter {
    pub(super) fn add(
        &mut self,
        index: usize,
        sender: &name::InstanceName,
        message: &member::MemberMessage,
    ) {
        let envelope = peer::PeerEnvelope {
            sender: sender.clone(),
            message: peer::PeerMessage::Member(message.clone()),
        };
        let encoded = self.codec.encode(&envelope).expect("member messages can be encoded");
        *self.bytes.entry(index).or_default() += encoded.len() as u64;
    }

    pub(super) fn bytes_sent(&self, index: usize) -> u64 {
        self.bytes.get(&index).copied().unwrap_or(0)
    }
}
