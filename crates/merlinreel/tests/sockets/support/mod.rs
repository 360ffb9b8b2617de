//! Stand-ins of our own, from the published protocol: servers, a discovery, a client; and the program.

use serde_json::{Value, json};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Long enough for anything; no test measures by it.
pub const PATIENCE: Duration = Duration::from_secs(20);

#[derive(Clone, Debug)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
    /// By which connection it came, counted from 0.
    pub connection: usize,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

/// One message, None at the connection's end.
fn read(from: &mut impl BufRead, connection: usize) -> io::Result<Option<Message>> {
    let mut first = String::new();
    if from.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        from.read_line(&mut line)?;
        let Some((name, value)) = line.trim_end().split_once(": ") else { break };
        headers.push((name.to_owned(), value.to_owned()));
    }
    let mut message =
        Message { first: first.trim_end().to_owned(), headers, body: String::new(), connection };
    let length = message.header("content-length").map_or(0, |text| text.parse().expect("a length"));
    let mut body = vec![0; length];
    from.read_exact(&mut body)?;
    message.body = String::from_utf8_lossy(&body).into_owned();
    Ok(Some(message))
}

/// What a stand-in does with a request.
pub enum React {
    Answer(String),
    /// Closes the connection without an answer.
    Break,
    /// Says nothing.
    Hang,
}

pub fn answer(status: &str, headers: &str, body: &str) -> React {
    React::Answer(format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len()))
}

pub fn fine() -> React {
    answer("200 OK", "", "done")
}

/// A server or a discovery: tells what it got, and which connections were closed from the other side.
pub struct StandIn {
    pub address: SocketAddr,
    pub seen: Receiver<Message>,
    pub closed: Receiver<usize>,
}

impl StandIn {
    pub fn start(react: impl Fn(&Message) -> React + Send + Sync + 'static) -> StandIn {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        let ((tell, seen), (over, closed)) = (channel(), channel());
        let react = Arc::new(react);
        thread::spawn(move || {
            for (number, stream) in listener.incoming().flatten().enumerate() {
                let (react, tell, over) = (react.clone(), tell.clone(), over.clone());
                thread::spawn(move || attend(stream, number, &*react, &tell, &over));
            }
        });
        StandIn { address, seen, closed }
    }

    pub fn next(&self) -> Message {
        self.seen.recv_timeout(PATIENCE).expect("a request")
    }
}

fn attend(
    mut stream: TcpStream,
    number: usize,
    react: &dyn Fn(&Message) -> React,
    tell: &Sender<Message>,
    over: &Sender<usize>,
) -> io::Result<()> {
    let mut from = BufReader::new(stream.try_clone()?);
    while let Ok(Some(message)) = read(&mut from, number) {
        // A test that has ended wants to know no more.
        let _ = tell.send(message.clone());
        match react(&message) {
            React::Answer(text) => stream.write_all(text.as_bytes())?,
            React::Break => return Ok(()),
            React::Hang => {}
        }
    }
    let _ = over.send(number);
    Ok(())
}

/// A server that holds each POST until it is let go of, one a message sent; answers all else at once.
pub fn holding() -> (StandIn, Sender<()>) {
    let (release, released) = channel::<()>();
    let released = Mutex::new(released);
    let server = StandIn::start(move |message| {
        if message.first.starts_with("POST") {
            let _ = released.lock().expect("whole").recv();
        }
        fine()
    });
    (server, release)
}

/// A discovery that tells the texts it is given, one an answer, or breaks; each call waits for the next.
pub fn discovery(texts: Receiver<String>) -> StandIn {
    let texts = Mutex::new(texts);
    StandIn::start(move |_| match texts.lock().expect("whole").recv() {
        Ok(text) if text == "break" => React::Break,
        Ok(text) => answer("200 OK", "", &text),
        Err(_) => React::Hang,
    })
}

pub fn free_address() -> SocketAddr {
    let (tcp, udp) = (TcpListener::bind("127.0.0.1:0"), UdpSocket::bind("127.0.0.1:0"));
    drop(udp);
    tcp.and_then(|socket| socket.local_addr()).expect("a free port")
}

pub fn listed(name: &str, address: SocketAddr, state: &str) -> Value {
    json!({"instanceId": name, "hostPort": address.to_string(), "zone": "a", "machineType": "m", "cell": 0,
        "lifecycle": state, "weight": 1.0, "startedAtMs": 0})
}

pub fn roster(generation: u64, whole: bool, servers: &[Value]) -> Value {
    json!({"generation": generation, "reset": whole, "instances": servers})
}

/// A configuration: three categories, a plan that holds ten units and hardly refills, one limiter.
pub fn config(servers: &[Value]) -> Value {
    let listen = free_address();
    // Nobody's: a free port might be the next test's server, which would be asked for lists.
    json!({"listen": listen.to_string(), "discovery": "127.0.0.1:9", "seed": "8c1f30d27a5be964",
        "limits": {"memory_mb": 192, "sockets": 256}, "known": roster(1, true, servers),
        "settings": {"balancers": 1, "rank": 0, "zone": 0, "dcs": ["a"], "packages": [
                {"name": "team", "unitsPerS": 0.1, "mostAtOnce": 10.0, "price": 1.0}],
            "classes": [
                {"name": "look", "idempotency": "read_like", "promiseS": 2.0, "hardLimitS": 4.0, "worth": 1.0},
                {"name": "put", "idempotency": "idempotency_key", "group": "all", "keyTtlS": 5.0, "promiseS": 2.0,
                    "hardLimitS": 4.0, "worth": 1.0},
                {"name": "pay", "idempotency": "non_idempotent", "promiseS": 2.0, "hardLimitS": 4.0, "worth": 1.0}],
            "familyInfo": {"inboxPerS": 40, "settles": true, "maxUnits": 8},
            "policyLimits": {"connIdleS": 15, "connectTimeoutS": 0.25, "mayCancel": true, "peers": true,
                "retryAfter": true, "sendCap": 5, "mostHeld": 1000},
            "report": {"how": "answers", "fields": ["queue"]},
            "rules": {"drainGraceS": 1, "startCapacity": 0.2, "coldS": 10, "fallS": 1, "overloadFactor": 2.5}}})
}

/// The program, ended with the test.
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
        let port = config["listen"].as_str().unwrap_or("none").replace([':', '.'], "-");
        let path = std::env::temp_dir().join(format!("merlinreel-{}-{port}.json", std::process::id()));
        std::fs::write(&path, config.to_string()).expect("a file for the configuration");
        let mut command = Command::new(env!("CARGO_BIN_EXE_merlinreel"));
        command.env_clear().env("PROXY_CONFIG", &path).stderr(Stdio::piped()).stdout(Stdio::null());
        if let Some(listener) = handed {
            use command_fds::{CommandFdExt, FdMapping};
            let parent_fd = listener.try_clone().expect("a second descriptor").into();
            command.fd_mappings(vec![FdMapping { parent_fd, child_fd: 7 }]).expect("descriptor 7");
            command.env("PROXY_LISTEN_FD", "7");
        }
        (command.spawn().expect("the program"), path)
    }

    /// Waits until `call` at `at` is answered 200.
    fn ready(self, at: SocketAddr, call: &str) -> Program {
        let begun = Instant::now();
        while begun.elapsed() < PATIENCE {
            if let Ok(mut client) = Client::connect(at)
                && client.call(call).is_some_and(|answer| answer.status() == 200)
            {
                return self;
            }
            thread::sleep(Duration::from_millis(10));
        }
        panic!("the program never was ready at {at}");
    }

    /// Starts it and waits until it says that it is ready.
    pub fn start(config: &Value) -> Program {
        let address = config["listen"].as_str().and_then(|text| text.parse().ok()).expect("an address");
        let (child, file) = Program::spawn(config);
        Program { child, file, address }.ready(address, "GET /up HTTP/1.1\r\nHost: svc\r\n\r\n")
    }

    /// Starts it on a socket handed down, with the operators' door at `config["ops"]`, and waits until the door
    /// says yes.
    pub fn start_handed(config: &Value, listener: &TcpListener) -> Program {
        let address = listener.local_addr().expect("bound");
        let ops = config["ops"].as_str().and_then(|text| text.parse().ok()).expect("a door");
        let (child, file) = Program::spawn_handed(config, Some(listener));
        Program { child, file, address }.ready(ops, "GET /healthcheck HTTP/1.1\r\nHost: ops\r\n\r\n")
    }

    /// Runs it to its end, for what it says there.
    pub fn complaint(config: &Value) -> (ExitStatus, String) {
        let output = Program::spawn(config).0.wait_with_output().expect("an end");
        (output.status, String::from_utf8_lossy(&output.stderr).into_owned())
    }

    pub fn client(&self) -> Client {
        Client::connect(self.address).expect("a connection")
    }

    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill").args([name, &self.child.id().to_string()]).status();
        assert!(sent.expect("the signal is sent").success());
    }

    /// Puts another configuration in the file's place and has it read.
    pub fn turn(&self, config: &str) {
        std::fs::write(&self.file, config).expect("the file is written");
        self.signal("-HUP");
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

static TRIES: AtomicU32 = AtomicU32::new(0x9b1f_03aa);

pub struct Client {
    to: TcpStream,
    from: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Client> {
        let to = TcpStream::connect(address)?;
        to.set_read_timeout(Some(PATIENCE))?;
        Ok(Client { from: BufReader::new(to.try_clone()?), to })
    }

    pub fn send(&mut self, text: &str) {
        // Where the other side has closed, the missing answer tells.
        let _ = self.to.write_all(text.as_bytes());
    }

    /// None where the connection ends without an answer.
    pub fn receive(&mut self) -> Option<Message> {
        read(&mut self.from, 0).ok().flatten()
    }

    pub fn call(&mut self, text: &str) -> Option<Message> {
        self.send(text);
        self.receive()
    }

    /// The answer to one job of that customer.
    pub fn job(&mut self, category: &str, customer: u32, units: u32) -> Message {
        self.call(&job(category, customer, units, "3000m")).expect("an answer")
    }
}

/// A job as clients send it, with an id of its own.
pub fn job(category: &str, customer: u32, units: u32, remaining: &str) -> String {
    let (method, key, body) = match category {
        "look" => ("GET", "", ""),
        "put" => ("POST", "Idempotency-Key: 5c0f6e1a\r\n", "a body"),
        _ => ("POST", "", "a body"),
    };
    format!(
        "{method} /{category}?key={customer:016x} HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: {:08x}\r\n\
         X-Lane: {category}\r\nX-Plan: team\r\nX-Remaining: {remaining}\r\n{key}Content-Length: {}\r\n\
         X-Quota: units={units},spread=1,first=0\r\n\r\n{body}",
        TRIES.fetch_add(1, Ordering::Relaxed),
        body.len()
    )
}
