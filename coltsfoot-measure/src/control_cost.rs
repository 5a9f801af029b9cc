//! Readings of the control threads of an embedded deployment.

use std::fs;
use std::time;

use coltsfoot_system::embedded;
use coltsfoot_wire::peer;

/// Length of one unit of processor time in `/proc`, in seconds.
const CLOCK_TICK_S: f64 = 0.01;

/// Cost of control, of all daemons together since their start or of one daemon per second.
#[derive(Clone, Copy, Debug, Default)]
pub struct ControlCost {
    /// Processor time of the control threads, in seconds, or the share of a core.
    pub core_share: f64,
    /// Bytes of heartbeats and views sent to other instances.
    pub member_bytes: f64,
    /// Bytes of all other messages sent to other instances.
    pub peer_bytes: f64,
    /// Bytes to and from the platform, and for engine orders and reports.
    pub platform_bytes: f64,
    daemons: f64,
}

impl ControlCost {
    /// Returns the cost per daemon and second since an earlier reading.
    pub fn per_daemon(&self, before: &Self, length: time::Duration) -> Self {
        let per = self.daemons * length.as_secs_f64();
        Self {
            core_share: (self.core_share - before.core_share) / per,
            member_bytes: (self.member_bytes - before.member_bytes) / per,
            peer_bytes: (self.peer_bytes - before.peer_bytes) / per,
            platform_bytes: (self.platform_bytes - before.platform_bytes) / per,
            daemons: self.daemons,
        }
    }
}

/// Reads what all daemons together have cost since their start.
pub fn read(deployment: &embedded::EmbeddedCluster) -> ControlCost {
    let sum = |name: &str| -> f64 {
        let daemons = deployment.daemons.iter();
        daemons.map(|daemon| counter(&daemon.metrics_text(), name)).sum()
    };
    let peer_bytes_of =
        |kind: &str| sum(&format!("coltsfoot_peer_bytes_total{{kind=\"{kind}\"}} "));
    let member_bytes = peer_bytes_of("member");
    let kinds = peer::PeerMessage::KINDS.into_iter().filter(|kind| *kind != "member");
    let peer_bytes = kinds.map(peer_bytes_of).sum();
    ControlCost {
        core_share: control_seconds(),
        member_bytes,
        peer_bytes,
        platform_bytes: sum("coltsfoot_platform_bytes_total "),
        daemons: deployment.daemons.len() as f64,
    }
}

/// Returns the bytes that all daemons together have sent to other instances, by kind of message.
pub fn bytes_by_kind(deployment: &embedded::EmbeddedCluster) -> Vec<(&'static str, f64)> {
    let texts: Vec<_> = deployment.daemons.iter().map(|daemon| daemon.metrics_text()).collect();
    let total = |kind: &str| -> f64 {
        let name = format!("coltsfoot_peer_bytes_total{{kind=\"{kind}\"}} ");
        texts.iter().map(|text| counter(text, &name)).sum()
    };
    peer::PeerMessage::KINDS.into_iter().map(|kind| (kind, total(kind))).collect()
}

/// Returns the slope of the straight line that fits the points best by least squares.
pub fn slope(points: &[(f64, f64)]) -> f64 {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let covariance: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    covariance / variance
}

fn counter(text: &str, name: &str) -> f64 {
    let line = text.lines().find_map(|line| line.strip_prefix(name));
    line.and_then(|value| value.trim().parse().ok()).unwrap_or_default()
}

/// Returns the processor time of this process's threads named `control`, in seconds.
fn control_seconds() -> f64 {
    let Ok(tasks) = fs::read_dir("/proc/self/task") else { return f64::NAN };
    let stats =
        tasks.flatten().filter_map(|task| fs::read_to_string(task.path().join("stat")).ok());
    stats.filter_map(|stat| control_thread_seconds(&stat)).sum()
}

fn control_thread_seconds(stat: &str) -> Option<f64> {
    let (_, rest) = stat.split_once('(')?;
    let (name, rest) = rest.rsplit_once(')')?;
    if name != "control" {
        return None;
    }
    let mut fields = rest.split_whitespace().skip(11);
    let user: f64 = fields.next()?.parse().ok()?;
    let system: f64 = fields.next()?.parse().ok()?;
    Some((user + system) * CLOCK_TICK_S)
}
