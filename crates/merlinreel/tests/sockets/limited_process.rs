//! Processes of the program under the system's own limit on descriptors, whose start nobody waits for.

use merlinreel_testkit::*;
use serde_json::Value;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::thread;
use std::time::{Duration, Instant};

const UP: &str = "GET /up HTTP/1.1\r\nHost: svc\r\n\r\n";

/// Ended with the test.
pub struct LimitedProcess {
    child: Child,
    file: PathBuf,
    descriptors: u32,
    pub address: SocketAddr,
}

impl LimitedProcess {
    /// With so many descriptors at most, whatever its configuration says.
    pub fn start(config: &Value, descriptors: u32) -> LimitedProcess {
        let address: SocketAddr = config["listen"]
            .as_str()
            .and_then(|text| text.parse().ok())
            .expect("an address");
        let file = std::env::temp_dir().join(format!("merlinreel-limited-{}.json", address.port()));
        std::fs::write(&file, config.to_string()).expect("a file for the configuration");
        let child = LimitedProcess::run(&file, descriptors);
        LimitedProcess {
            child,
            file,
            descriptors,
            address,
        }
    }

    fn run(file: &PathBuf, descriptors: u32) -> Child {
        let limited = format!("ulimit -n {descriptors} && exec \"$0\"");
        let mut command = Command::new("sh");
        command
            .args(["-c", &limited, env!("CARGO_BIN_EXE_merlinreel")])
            .env("PROXY_CONFIG", file);
        command
            .stderr(Stdio::null())
            .stdout(Stdio::null())
            .spawn()
            .expect("the program")
    }

    pub fn kill(&mut self) {
        self.child.kill().expect("killed");
        self.child.wait().expect("an end");
    }

    pub fn start_again(&mut self) {
        self.child = LimitedProcess::run(&self.file, self.descriptors);
    }

    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill")
            .args([name, &self.child.id().to_string()])
            .status();
        assert!(sent.expect("the signal is sent").success());
    }

    pub fn end(&mut self) -> ExitStatus {
        self.child.wait().expect("an end")
    }

    /// Whether it says that it is ready before `until`.
    pub fn is_ready_by(&self, until: Instant) -> bool {
        while Instant::now() < until {
            if self.says_up(until) {
                return true;
            }
            thread::sleep(Duration::from_millis(5));
        }
        false
    }

    fn says_up(&self, until: Instant) -> bool {
        let wait = until
            .saturating_duration_since(Instant::now())
            .max(Duration::from_millis(1));
        let Ok(mut stream) = TcpStream::connect_timeout(&self.address, wait) else {
            return false;
        };
        stream.set_read_timeout(Some(wait)).expect("a time-out");
        let mut status = [0; 12];
        let called = stream
            .write_all(UP.as_bytes())
            .and_then(|()| stream.read_exact(&mut status));
        called.is_ok() && &status == b"HTTP/1.1 200"
    }

    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).map_or(0, Iterator::count)
    }

    pub fn client(&self) -> Client {
        Client::connect(self.address).expect("a connection")
    }
}

impl Drop for LimitedProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}
