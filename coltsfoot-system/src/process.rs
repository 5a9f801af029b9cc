//! Processes of the project's own programs, ended when their handle is dropped.

use std::env;
use std::io;
use std::io::BufRead as _;
use std::path;
use std::process;
use std::sync;

/// Packages whose programs the tests run.
const PROGRAM_PACKAGES: [&str; 3] = ["coltsfootd", "coltsfootctl", "coltsfoot-fakes"];

static BUILD: sync::Once = sync::Once::new();

/// Returns the path of a program, after bringing it up to date.
pub fn program(name: &str) -> path::PathBuf {
    BUILD.call_once(build);
    let test = env::current_exe().expect("the test program has a path");
    let directory = test.ancestors().nth(2).expect("test programs lie below the build directory");
    directory.join(name)
}

/// `cargo test` builds the programs only of packages under test, so that others might be stale.
fn build() {
    let mut command = process::Command::new(env!("CARGO"));
    command.args(["build", "--quiet", "--locked", "--bins"]);
    for package in PROGRAM_PACKAGES {
        command.args(["--package", package]);
    }
    let status = command.status().expect("cargo starts");
    assert!(status.success(), "the programs build");
}

/// A running program.
pub struct RunningProgram {
    child: process::Child,
    output: io::BufReader<process::ChildStdout>,
}

impl RunningProgram {
    /// Starts a program.
    pub fn start(name: &str, arguments: &[String]) -> Self {
        let mut child = process::Command::new(program(name))
            .args(arguments)
            .stdout(process::Stdio::piped())
            .spawn()
            .expect("the program starts");
        let output = io::BufReader::new(child.stdout.take().expect("the output is piped"));
        Self { child, output }
    }

    /// Returns the id of its process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the next line that the program prints.
    pub fn read_line(&mut self) -> String {
        let mut line = String::new();
        self.output.read_line(&mut line).expect("the program prints a line");
        line.trim().to_owned()
    }

    /// Kills the program.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends a signal by its number, such as SIGSTOP.
    pub fn signal(&self, name: &str) {
        let status = process::Command::new("kill")
            .args(["-s", name, &self.child.id().to_string()])
            .status()
            .expect("kill runs");
        assert!(status.success(), "signal {name} is sent");
    }

    /// Waits until the program ends and returns whether it succeeded.
    pub fn wait(&mut self) -> bool {
        self.child.wait().expect("the program ends").success()
    }
}

impl Drop for RunningProgram {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Runs a program to its end and returns its exit code and output.
pub fn run(name: &str, arguments: &[String]) -> (Option<i32>, String) {
    let output =
        process::Command::new(program(name)).args(arguments).output().expect("the program runs");
    let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
    text.push_str(&String::from_utf8_lossy(&output.stderr));
    (output.status.code(), text)
}
