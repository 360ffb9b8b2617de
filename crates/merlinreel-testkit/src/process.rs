//! Starts, signals and stops processes of the program under test.

use crate::TEST_TIMEOUT;
use crate::client::Client;
use crate::scale::proc_file::kilobytes;
use command_fds::{CommandFdExt, FdMapping};
use serde_json::Value;
use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// File descriptor number at which the program inherits a listener.
const LISTENER_FD: i32 = 7;
/// Pause between two readiness checks of a starting process.
const READINESS_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Path of the program: the value of `MERLINREEL_BIN`, or else the program in the nearest parent folder of the running
/// test's executable.
fn binary() -> PathBuf {
    std::env::var_os("MERLINREEL_BIN").map_or_else(
        || {
            let own = std::env::current_exe().expect("the path of the running test");
            let folder = own
                .ancestors()
                .find(|path| path.join("merlinreel").is_file());
            folder
                .expect("the program built in a parent folder of the test")
                .join("merlinreel")
        },
        PathBuf::from,
    )
}

/// Opens the log file of the program at `address`, in the folder that `MERLINREEL_TEST_LOGS` names. `None` if the variable
/// is not set. A restarted process appends to the file.
fn log_file(address: &str) -> Option<File> {
    let folder = std::env::var_os("MERLINREEL_TEST_LOGS")?;
    let path = PathBuf::from(folder).join(format!("{}-{address}.log", std::process::id()));
    let file = File::options().create(true).append(true).open(path);
    Some(file.expect("MERLINREEL_TEST_LOGS names a writable folder"))
}

/// The result of a process that exited by itself.
#[derive(Debug)]
pub struct ExitReport {
    /// The exit status of the process.
    pub status: ExitStatus,
    /// Everything the process wrote to standard error; empty if `MERLINREEL_TEST_LOGS` redirects it to a file.
    pub stderr: String,
}

/// A process of the program, killed when dropped.
#[derive(Debug)]
pub struct Program {
    child: Child,
    config_file: PathBuf,
    /// The address at which the program serves clients.
    pub address: SocketAddr,
}

impl Program {
    /// Writes the configuration file and spawns the process. The listener is inherited as [`LISTENER_FD`], which
    /// `PROXY_LISTEN_FD` announces. Returns the process and the path of the configuration file.
    fn spawn(config: &Value, listener: Option<&TcpListener>) -> (Child, PathBuf) {
        let port = &config["listen"]
            .as_str()
            .unwrap_or("none")
            .replace([':', '.'], "-");
        let path =
            std::env::temp_dir().join(format!("merlinreel-{}-{port}.json", std::process::id()));
        std::fs::write(&path, config.to_string()).expect("the configuration file is written");
        let mut command = Command::new(binary());
        command
            .env_clear()
            .env("PROXY_CONFIG", &path)
            .stderr(log_file(port).map_or_else(Stdio::piped, Stdio::from))
            .stdout(Stdio::null());
        if let Some(listener) = listener {
            let mapping = FdMapping {
                parent_fd: listener
                    .try_clone()
                    .expect("the listener is duplicated")
                    .into(),
                child_fd: LISTENER_FD,
            };
            command
                .fd_mappings(vec![mapping])
                .expect("LISTENER_FD is mapped once");
            command.env("PROXY_LISTEN_FD", LISTENER_FD.to_string());
            command.env("TMPDIR", std::env::temp_dir());
        }
        (command.spawn().expect("the program is spawned"), path)
    }

    /// Waits until `request`, sent to `address`, is answered with status 200.
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
        panic!("the program at {address} was not ready within {TEST_TIMEOUT:?}");
    }

    /// Starts the program and waits until it is ready.
    ///
    /// # Panics
    /// The configuration has no listen address, or the program does not become ready within [`TEST_TIMEOUT`].
    pub fn start(config: &Value) -> Program {
        let address = config["listen"]
            .as_str()
            .and_then(|text| text.parse().ok())
            .expect("`listen` is a socket address");
        let (child, config_file) = Program::spawn(config, None);
        Program {
            child,
            config_file,
            address,
        }
        .wait_until_ready(address, "GET /up HTTP/1.1\r\nHost: svc\r\n\r\n")
    }

    /// Starts the program with an inherited listener, and waits until the admin endpoint at `config["ops"]` reports that it
    /// is ready.
    ///
    /// # Panics
    /// The configuration has no admin endpoint, or the program does not become ready within [`TEST_TIMEOUT`].
    pub fn start_with_listener(config: &Value, listener: &TcpListener) -> Program {
        let address = listener
            .local_addr()
            .expect("the listener has a local address");
        let admin_address = config["ops"]
            .as_str()
            .and_then(|text| text.parse().ok())
            .expect("`ops` is a socket address");
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

    /// Runs the program until it exits by itself, without a time limit.
    ///
    /// # Panics
    /// The program can't be spawned or waited for.
    pub fn run_to_exit(config: &Value) -> ExitReport {
        let (child, _) = Program::spawn(config, None);
        let output = child
            .wait_with_output()
            .expect("the process can be waited for");
        ExitReport {
            status: output.status,
            stderr: String::from_utf8_lossy(&output.stderr).into_owned(),
        }
    }

    /// Opens a new connection to the program.
    ///
    /// # Panics
    /// The connection is refused.
    pub fn client(&self) -> Client {
        Client::connect(self.address).expect("the program accepts a connection")
    }

    /// The most memory that the process has had resident so far, in KiB.
    ///
    /// # Panics
    /// The kernel does not report it, as after [`Program::wait`] has returned.
    pub fn peak_memory_kb(&self) -> u64 {
        let status = format!("/proc/{}/status", self.child.id());
        kilobytes(&status, "VmHWM:").expect("the peak memory of a running process")
    }

    /// Sends a signal by its name, such as `-HUP`.
    ///
    /// # Panics
    /// `kill` can't be run or fails, as it does once [`Program::wait`] has returned.
    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill")
            .args([name, &self.child.id().to_string()])
            .status();
        assert!(sent.expect("`kill` is run").success());
    }

    /// Kills the process. Returns whether it was still running before.
    pub fn kill_if_running(&mut self) -> bool {
        let is_running = self.child.try_wait().is_ok_and(|status| status.is_none());
        let _ = self.child.kill();
        is_running
    }

    /// Overwrites the configuration file and sends SIGHUP.
    ///
    /// # Panics
    /// The file can't be written.
    pub fn reload(&self, config: &str) {
        std::fs::write(&self.config_file, config).expect("the configuration file is written");
        self.signal("-HUP");
    }

    /// Closes the read end of the process's standard error, so that its writes fail. Does nothing if it goes to a log file.
    pub fn close_stderr(&mut self) {
        drop(self.child.stderr.take());
    }

    /// Waits until the process exits, without a time limit.
    ///
    /// # Panics
    /// The process can't be waited for.
    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().expect("the process can be waited for")
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
