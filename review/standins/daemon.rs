//! Starts the project's daemon as a process, with settings like those of a small deployment.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::net;

/// Arguments of the deploy file.
const ARGUMENTS: [&str; 3] = ["--platform", "--metrics-port", "9464"];

/// Ports that are free at the addresses of all daemons.
#[derive(Clone, Copy)]
pub struct Ports {
    pub callers: u16,
    pub readiness: u16,
    pub internal: u16,
}

/// Place of a daemon: its settings and its process, which ends with this value.
pub struct Daemon {
    pub name: String,
    pub callers: SocketAddr,
    readiness: SocketAddr,
    directory: String,
    process: Option<Child>,
}

impl Daemon {
    /// Writes the settings of a daemon.
    pub fn new(name: &str, host: u8, ports: Ports, store: SocketAddr, folder: &Path) -> Self {
        let ip = net::loopback(host);
        let Ports { callers, readiness, internal } = ports;
        let settings = format!(
            r#"{{"Node":"{name}","Role":"gateway","MachineClass":"edge","Serves":["edge"],"Ip":"{ip}",
"Zone":"rennes","Region":"bretagne","Zones":{{"rennes":"bretagne"}},
"Listen":{{"Front":"{ip}:{callers}","Ready":"{ip}:{readiness}"}},"InternalPorts":[{internal},{}],
"Seeds":[],"Bootstrap":true,"LossCounted":false,
"Limits":{{"CpuShare":0.25,"Cores":1,"MemoryMb":260,"MaxFds":4100,"LinkMbps":1000.0,"DiskMb":0}},
"DataDir":null,"Discovery":"platform","Entry":"vip","HeartbeatMs":1200,
"Bounds":{{"SeedLagS":3,"AddrReuseS":2,"ContactMs":3000,"AckMs":4000,"CatchUpS":4,"DrainMs":2000,
"GraceS":8,"LossSlackMs":200,"ConfigApplyMs":2000,"DowngradeSlackMs":250,"OuterMs":5000,
"StrictRevoke":false,"RevokeMs":5000,"RetryBudgetRatio":0.2,"BudgetWindowS":10,"RetryBudgetSlack":52,
"QuotaWindowS":8,"QuotaOverage":0.1,"QuotaSlack":110000,"RecoveryS":12,"PassMs":120,"RetryAfterS":0,
"FencingRequired":false,"LeaseMs":3000,"ThawSlackMs":300,"CeilingWindowS":5,"CeilingOverage":1.1,
"version_ms":5000}},
"Platform":{{"Address":"{store}","form":"log","WritesPerS":400,"ReadsPerS":2000,"parts":12,"AppendMs":2.0,
"PartMbPerS":20.0,"ReadMbPerS":80.0,"RecordBytes":262144,"CallBytes":2097152,"keep_s":300,"PartMb":200,
"MinTtlMs":1000}}}}"#,
            internal + 1
        );
        let directory = folder.join(name);
        fs::create_dir_all(&directory).expect("a temporary folder");
        fs::write(directory.join("boot.json"), settings).expect("settings can be written");
        Self {
            name: name.to_owned(),
            callers: (ip, callers).into(),
            readiness: (ip, readiness).into(),
            directory: directory.to_string_lossy().into_owned(),
            process: None,
        }
    }

    /// Starts the process.
    pub fn start(&mut self, program: &str) {
        let path = format!("{}/log", self.directory);
        let log = fs::File::options().create(true).append(true).open(path).expect("a log file");
        let errors = log.try_clone().expect("a log file");
        let mut command = Command::new(program);
        command.args(ARGUMENTS).env("COLTSFOOTDECK_SETTINGS", format!("{}/boot.json", self.directory));
        command.stdin(Stdio::null()).stdout(log).stderr(errors);
        let process = command.spawn().expect("the daemon starts; build it first");
        // The script ends what is left if this program is ended.
        let ids = format!("{}/id", self.directory);
        fs::write(ids, process.id().to_string()).expect("the id can be written");
        self.process = Some(process);
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
            let _ = fs::remove_file(format!("{}/id", self.directory));
        }
    }

    /// Returns the id of the process.
    #[allow(dead_code)]
    pub fn process_id(&self) -> Option<u32> {
        self.process.as_ref().map(Child::id)
    }

    /// Waits until the daemon says that it is ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        let request = b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n";
        while Instant::now() < end {
            let answer = net::call(self.readiness, request, Duration::from_secs(1));
            if answer.is_some_and(|answer| answer.start[1] == "200") {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}
