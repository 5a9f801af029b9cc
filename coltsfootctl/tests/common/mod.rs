//! Fake platform services and runs of the tool.
#![allow(dead_code)]

use std::fs;
use std::io::{Read as _, Write as _};
use std::net;
use std::path;
use std::process;
use std::sync;
use std::thread;

use coltsfoot_fakes::{list, log};
use serde_json::json;

/// Fakes of the log and the instance list, and a directory for files.
pub struct ToolFixture {
    pub log: log::FakeLog,
    pub list: list::FakeList,
    directory: path::PathBuf,
}

/// Output and exit code of a run of the tool.
#[derive(Debug)]
pub struct ToolRun {
    pub code: i32,
    pub output: String,
    pub errors: String,
}

impl ToolFixture {
    pub fn start(name: &str, switches: log::LogSwitches) -> Self {
        let executor = sync::Arc::new(async_executor::Executor::new());
        let runner = sync::Arc::clone(&executor);
        thread::spawn(move || async_io::block_on(runner.run(std::future::pending::<()>())));
        let options = log::LogOptions::builder().switches(switches).build();
        let log = log::FakeLog::start(&executor, options).unwrap();
        let switches = list::ListSwitches::builder().lag_ms(0).build();
        let options = list::ListOptions::builder().switches(switches).build();
        let list = list::FakeList::start(&executor, options).unwrap();
        let directory = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        fs::create_dir_all(&directory).unwrap();
        Self { log, list, directory }
    }

    pub fn file(&self, name: &str, content: &serde_json::Value) -> path::PathBuf {
        let path = self.directory.join(name);
        fs::write(&path, content.to_string()).unwrap();
        path
    }

    pub fn changes(&self, name: &str, changes: serde_json::Value) -> String {
        self.file(name, &json!({"changes": changes})).display().to_string()
    }

    pub fn command(&self, arguments: &[&str]) -> process::Command {
        let mut command = process::Command::new(env!("CARGO_BIN_EXE_coltsfootctl"));
        command.args(arguments);
        command.args(["--log", &self.log.address().to_string()]);
        command.args(["--list", &self.list.address().to_string()]);
        command.stdout(process::Stdio::piped()).stderr(process::Stdio::piped());
        command
    }

    pub fn run(&self, arguments: &[&str]) -> ToolRun {
        finish(self.command(arguments).spawn().unwrap())
    }

    pub fn json(&self, arguments: &[&str]) -> serde_json::Value {
        let run = self.run(arguments);
        serde_json::from_str(&run.output).unwrap_or_else(|error| panic!("{error}: {run:?}"))
    }

    /// Publishes the policy, a customer and two adapters at offset 0.
    pub fn publish_base(&self) {
        let file = self.changes("base.json", base_changes());
        let run = self.run(&["apply", &file]);
        assert_eq!(run.code, 0, "{run:?}");
    }
}

pub fn finish(child: process::Child) -> ToolRun {
    let output = child.wait_with_output().unwrap();
    ToolRun {
        code: output.status.code().unwrap(),
        output: String::from_utf8(output.stdout).unwrap(),
        errors: String::from_utf8(output.stderr).unwrap(),
    }
}

pub fn put(revision: Option<u64>, object: serde_json::Value) -> serde_json::Value {
    json!({"revision": revision, "action": {"put": object}})
}

pub fn route(priority: u8) -> serde_json::Value {
    json!({"kind": "route", "name": "brief", "target": {"model": {"adapter": "menus"}},
        "access": {"customers": ["hotel"]}, "priority": priority})
}

pub fn base_changes() -> serde_json::Value {
    json!([
        put(
            None,
            json!({"kind": "policy", "name": "fleet", "max_rate_tokens_per_second": 1_000,
            "max_burst_tokens": 1_000, "max_output_tokens": 512, "max_deadline_ms": 60_000,
            "max_exception_priority": 5})
        ),
        put(
            None,
            json!({"kind": "customer", "name": "hotel", "rate_tokens_per_second": 100,
            "burst_tokens": 200, "zone_permille": {"rennes": 1_000}})
        ),
        put(
            None,
            json!({"kind": "adapter", "name": "menus", "base_model": "llama",
            "customer": "hotel", "versions": [1]})
        ),
        put(None, route(1)),
    ])
}

/// Serves one answer to each connection and returns the request lines.
pub fn serve_operator(answer: &'static str) -> (net::SocketAddr, sync::mpsc::Receiver<String>) {
    let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, receiver) = sync::mpsc::channel();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let mut request = [0; 2_048];
            let length = stream.read(&mut request).unwrap();
            let head = String::from_utf8_lossy(&request[..length]).into_owned();
            let line = head.lines().next().unwrap_or_default().to_owned();
            let (size, close) = (answer.len(), "connection: close");
            write!(stream, "HTTP/1.1 200 OK\r\ncontent-length: {size}\r\n{close}\r\n\r\n{answer}")
                .unwrap();
            sender.send(line).unwrap();
        }
    });
    (address, receiver)
}
