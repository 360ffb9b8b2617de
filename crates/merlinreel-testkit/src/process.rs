//! Processes of the program.

use crate::TEST_TIMEOUT;
use crate::client::Client;
use command_fds::{CommandFdExt, FdMapping};
use serde_json::Value;
use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// The descriptor at which the program finds a listener that is passed to it.
const LISTENER_FD: i32 = 7;
const READINESS_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// The program as it was built beside the test that runs, or what `MERLINREEL_BIN` names.
fn binary() -> PathBuf {
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

/// The file that takes the log of the program at `address`, in the folder that `MERLINREEL_TEST_LOGS` names; none where it
/// names none. A process that is restarted appends.
fn log_file(address: &str) -> Option<File> {
    let folder = std::env::var_os("MERLINREEL_TEST_LOGS")?;
    let path = PathBuf::from(folder).join(format!("{}-{address}.log", std::process::id()));
    let file = File::options().create(true).append(true).open(path);
    Some(file.expect("a folder that can be written to"))
}

/// How a process exited.
#[derive(Debug)]
pub struct ExitReport {
    /// Its exit status.
    pub status: ExitStatus,
    /// All that it wrote to standard error.
    pub stderr: String,
}

/// A process of the program, killed when dropped.
#[derive(Debug)]
pub struct Program {
    child: Child,
    config_file: PathBuf,
    /// Where it serves clients.
    pub address: SocketAddr,
}

impl Program {
    /// Writes the configuration's file and spawns the process. A listener is passed as [`LISTENER_FD`], which
    /// `PROXY_LISTEN_FD` names.
    fn spawn(config: &Value, listener: Option<&TcpListener>) -> (Child, PathBuf) {
        let port = &config["listen"]
            .as_str()
            .unwrap_or("none")
            .replace([':', '.'], "-");
        let path =
            std::env::temp_dir().join(format!("merlinreel-{}-{port}.json", std::process::id()));
        std::fs::write(&path, config.to_string()).expect("a file for the configuration");
        let mut command = Command::new(binary());
        command
            .env_clear()
            .env("PROXY_CONFIG", &path)
            .stderr(log_file(port).map_or_else(Stdio::piped, Stdio::from))
            .stdout(Stdio::null());
        if let Some(listener) = listener {
            let mapping = FdMapping {
                parent_fd: listener.try_clone().expect("a second descriptor").into(),
                child_fd: LISTENER_FD,
            };
            command
                .fd_mappings(vec![mapping])
                .expect("a free descriptor");
            command.env("PROXY_LISTEN_FD", LISTENER_FD.to_string());
        }
        (command.spawn().expect("the program"), path)
    }

    /// Waits until `request` sent to `address` is answered 200.
    fn wait_until_ready(self, address: SocketAddr, request: &str) -> Program {
        let start = Instant::now();
        while start.elapsed() < TEST_TIMEOUT {
            if let Ok(mut client) = Client::connect(address)
                && client
                    .call(request)
                    .is_some_and(|response| response.status() == 200)
            {
                return self;
            }
            thread::sleep(READINESS_CHECK_INTERVAL);
        }
        panic!("the program never was ready at {address}");
    }

    /// Starts the program and waits until it is ready.
    ///
    /// # Panics
    /// The configuration has no address to listen at, or the program does not become ready in time.
    pub fn start(config: &Value) -> Program {
        let address = config["listen"]
            .as_str()
            .and_then(|text| text.parse().ok())
            .expect("an address");
        let (child, config_file) = Program::spawn(config, None);
        Program {
            child,
            config_file,
            address,
        }
        .wait_until_ready(address, "GET /up HTTP/1.1\r\nHost: svc\r\n\r\n")
    }

    /// Starts the program with a listener of the parent's, and waits until the admin endpoint at `config["ops"]`
    /// reports that it is ready.
    ///
    /// # Panics
    /// The configuration has no admin endpoint, or the program does not become ready in time.
    pub fn start_with_listener(config: &Value, listener: &TcpListener) -> Program {
        let address = listener.local_addr().expect("bound");
        let admin_address = config["ops"]
            .as_str()
            .and_then(|text| text.parse().ok())
            .expect("an admin address");
        let (child, config_file) = Program::spawn(config, Some(listener));
        Program {
            child,
            config_file,
            address,
        }
        .wait_until_ready(
            admin_address,
            "GET /healthcheck HTTP/1.1\r\nHost: ops\r\n\r\n",
        )
    }

    /// Runs the program until it exits by itself.
    ///
    /// # Panics
    /// The program can't be spawned or waited for.
    pub fn run_to_exit(config: &Value) -> ExitReport {
        let (child, _) = Program::spawn(config, None);
        let output = child.wait_with_output().expect("an end");
        ExitReport {
            status: output.status,
            stderr: String::from_utf8_lossy(&output.stderr).into_owned(),
        }
    }

    /// A new connection to the program.
    ///
    /// # Panics
    /// The connection is refused.
    pub fn client(&self) -> Client {
        Client::connect(self.address).expect("a connection")
    }

    /// Sends a signal by its name, such as `-HUP`.
    ///
    /// # Panics
    /// The process has been waited for.
    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill")
            .args([name, &self.child.id().to_string()])
            .status();
        assert!(sent.expect("the signal is sent").success());
    }

    /// Kills the process; whether it was still running.
    pub fn kill_if_running(&mut self) -> bool {
        let is_running = self.child.try_wait().is_ok_and(|status| status.is_none());
        let _ = self.child.kill();
        is_running
    }

    /// Replaces the configuration's file and sends SIGHUP.
    ///
    /// # Panics
    /// The file can't be written.
    pub fn reload(&self, config: &str) {
        std::fs::write(&self.config_file, config).expect("the file is written");
        self.signal("-HUP");
    }

    /// Closes the reading end of the process's standard error.
    pub fn close_stderr(&mut self) {
        drop(self.child.stderr.take());
    }

    /// Waits until the process exits.
    ///
    /// # Panics
    /// The process can't be waited for.
    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().expect("an end")
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
