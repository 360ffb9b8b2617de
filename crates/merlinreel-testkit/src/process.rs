//! Processes of the program.

use crate::PATIENCE;
use crate::client::Client;
use serde_json::Value;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// The program as it was built beside the test that runs, or what `MERLINREEL_BIN` names.
fn program() -> PathBuf {
    std::env::var_os("MERLINREEL_BIN").map_or_else(
        || {
            let own = std::env::current_exe().expect("this test's own path");
            let folder = own
                .ancestors()
                .find(|path| path.join("merlinreel").is_file());
            folder
                .expect("a built program beside the test")
                .join("merlinreel")
        },
        PathBuf::from,
    )
}

/// The program, ended with the test.
#[derive(Debug)]
pub struct Program {
    child: Child,
    file: PathBuf,
    pub address: SocketAddr,
}

impl Program {
    fn spawn(config: &Value) -> (Child, PathBuf) {
        Program::spawn_handed(config, None)
    }

    /// With `handed`, the clients' socket is the child's descriptor 7, named in `PROXY_LISTEN_FD`.
    fn spawn_handed(config: &Value, handed: Option<&TcpListener>) -> (Child, PathBuf) {
        let port = config["listen"]
            .as_str()
            .unwrap_or("none")
            .replace([':', '.'], "-");
        let path =
            std::env::temp_dir().join(format!("merlinreel-{}-{port}.json", std::process::id()));
        std::fs::write(&path, config.to_string()).expect("a file for the configuration");
        let mut command = Command::new(program());
        command
            .env_clear()
            .env("PROXY_CONFIG", &path)
            .stderr(Stdio::piped())
            .stdout(Stdio::null());
        if let Some(listener) = handed {
            use command_fds::{CommandFdExt, FdMapping};
            let parent_fd = listener.try_clone().expect("a second descriptor").into();
            command
                .fd_mappings(vec![FdMapping {
                    parent_fd,
                    child_fd: 7,
                }])
                .expect("descriptor 7");
            command.env("PROXY_LISTEN_FD", "7");
        }
        (command.spawn().expect("the program"), path)
    }

    /// Waits until `call` at `at` is answered 200.
    fn ready(self, at: SocketAddr, call: &str) -> Program {
        let begun = Instant::now();
        while begun.elapsed() < PATIENCE {
            if let Ok(mut client) = Client::connect(at)
                && client
                    .call(call)
                    .is_some_and(|answer| answer.status() == 200)
            {
                return self;
            }
            thread::sleep(Duration::from_millis(10));
        }
        panic!("the program never was ready at {at}");
    }

    /// Starts it and waits until it says that it is ready.
    pub fn start(config: &Value) -> Program {
        let address = config["listen"]
            .as_str()
            .and_then(|text| text.parse().ok())
            .expect("an address");
        let (child, file) = Program::spawn(config);
        Program {
            child,
            file,
            address,
        }
        .ready(address, "GET /up HTTP/1.1\r\nHost: svc\r\n\r\n")
    }

    /// Starts it on a socket handed down, with the operators' door at `config["ops"]`, and waits until the door
    /// says yes.
    pub fn start_handed(config: &Value, listener: &TcpListener) -> Program {
        let address = listener.local_addr().expect("bound");
        let ops = config["ops"]
            .as_str()
            .and_then(|text| text.parse().ok())
            .expect("a door");
        let (child, file) = Program::spawn_handed(config, Some(listener));
        Program {
            child,
            file,
            address,
        }
        .ready(ops, "GET /healthcheck HTTP/1.1\r\nHost: ops\r\n\r\n")
    }

    /// Runs it to its end, for what it says there.
    pub fn complaint(config: &Value) -> (ExitStatus, String) {
        let output = Program::spawn(config).0.wait_with_output().expect("an end");
        (
            output.status,
            String::from_utf8_lossy(&output.stderr).into_owned(),
        )
    }

    pub fn client(&self) -> Client {
        Client::connect(self.address).expect("a connection")
    }

    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill")
            .args([name, &self.child.id().to_string()])
            .status();
        assert!(sent.expect("the signal is sent").success());
    }

    /// Kills it if it still runs; whether it did.
    pub fn kill_if_running(&mut self) -> bool {
        let runs = self.child.try_wait().is_ok_and(|ended| ended.is_none());
        let _ = self.child.kill();
        runs
    }

    /// Puts another configuration in the file's place and has it read.
    pub fn turn(&self, config: &str) {
        std::fs::write(&self.file, config).expect("the file is written");
        self.signal("-HUP");
    }

    /// Nobody reads what it says from now on.
    pub fn close_log(&mut self) {
        drop(self.child.stderr.take());
    }

    pub fn end(&mut self) -> ExitStatus {
        self.child.wait().expect("an end")
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
