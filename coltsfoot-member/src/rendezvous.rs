//! Rendezvous hashing of resources to members and groups.

use coltsfoot_types::name;
use coltsfoot_wire::member;

/// Returns the member with the highest hash for the resource, `None` if there are no members.
pub fn choose_member<'members>(
    resource: &name::ResourceName,
    members: &'members [name::InstanceName],
) -> Option<&'members name::InstanceName> {
    members.iter().max_by_key(|candidate| hash_pair(resource.as_str(), candidate.as_str()))
}

/// Returns the group that a resource is hashed to.
pub fn choose_group(resource: &name::ResourceName, group_count: u8) -> member::GroupNumber {
    let hash = hash_pair("group", resource.as_str());
    member::GroupNumber((hash % u64::from(group_count.max(1))) as u8)
}

fn hash_pair(first: &str, second: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(first.len() as u64).to_le_bytes());
    hasher.update(first.as_bytes());
    hasher.update(second.as_bytes());
    let mut bytes = [0; 8];
    hasher.finalize_xof().fill(&mut bytes);
    u64::from_le_bytes(bytes)
}
