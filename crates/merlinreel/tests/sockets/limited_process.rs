//! Processes of the program under the operating system's limit on file descriptors. Unlike the test kit's `Program`, they
//! are started without waiting until they are ready.

use merlinreel_testkit::*;
use serde_json::Value;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::thread;
use std::time::{Duration, Instant};

const READINESS_REQUEST: &str = "GET /up HTTP/1.1\r\nHost: svc\r\n\r\n";

/// A process of the program with a limit on its file descriptors; killed when dropped.
pub struct LimitedProcess {
    child: Child,
    config_file: PathBuf,
    max_descriptors: u32,
    pub address: SocketAddr,
}

impl LimitedProcess {
    /// Starts the program with at most `max_descriptors` file descriptors, whatever its configuration says.
    pub fn start(config: &Value, max_descriptors: u32) -> LimitedProcess {
        let address: SocketAddr = config["listen"]
            .as_str()
            .and_then(|text| text.parse().ok())
            .expect("`listen` is a socket address");
        let config_file =
            std::env::temp_dir().join(format!("merlinreel-limited-{}.json", address.port()));
        std::fs::write(&config_file, config.to_string())
            .expect("the configuration file is written");
        let child = LimitedProcess::spawn(&config_file, max_descriptors);
        LimitedProcess {
            child,
            config_file,
            max_descriptors,
            address,
        }
    }

    fn spawn(config_file: &PathBuf, max_descriptors: u32) -> Child {
        let limited = format!("ulimit -n {max_descriptors} && exec \"$0\"");
        let mut command = Command::new("sh");
        command
            .args(["-c", &limited, env!("CARGO_BIN_EXE_merlinreel")])
            .env("PROXY_CONFIG", config_file);
        command
            .stderr(Stdio::null())
            .stdout(Stdio::null())
            .spawn()
            .expect("the program is spawned")
    }

    pub fn kill(&mut self) {
        self.child.kill().expect("the process can be killed");
        self.child.wait().expect("the process can be waited for");
    }

    pub fn restart(&mut self) {
        self.child = LimitedProcess::spawn(&self.config_file, self.max_descriptors);
    }

    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill")
            .args([name, &self.child.id().to_string()])
            .status();
        assert!(sent.expect("`kill` is run").success());
    }

    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().expect("the process can be waited for")
    }

    /// Waits until the process reports that it is ready, at most until `deadline`. Returns whether it did.
    pub fn is_ready_by(&self, deadline: Instant) -> bool {
        while Instant::now() < deadline {
            if self.reports_ready(deadline) {
                return true;
            }
            thread::sleep(Duration::from_millis(5));
        }
        false
    }

    fn reports_ready(&self, deadline: Instant) -> bool {
        let timeout = deadline
            .saturating_duration_since(Instant::now())
            .max(Duration::from_millis(1));
        let Ok(mut stream) = TcpStream::connect_timeout(&self.address, timeout) else {
            return false;
        };
        stream
            .set_read_timeout(Some(timeout))
            .expect("the read timeout is set");
        let mut status = [0; 12];
        let exchanged = stream
            .write_all(READINESS_REQUEST.as_bytes())
            .and_then(|()| stream.read_exact(&mut status));
        exchanged.is_ok() && &status == b"HTTP/1.1 200"
    }

    pub fn open_descriptors(&self) -> usize {
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
        let _ = std::fs::remove_file(&self.config_file);
    }
}
