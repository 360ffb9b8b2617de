//! Stand-ins and helpers that the cases of the second review share: servers, discovery, clients, and the limiter's process.
//! Only the standard library is used. Included by each case with `mod kit`.
#![allow(dead_code)]

use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

static RECORD: OnceLock<(Mutex<File>, Instant)> = OnceLock::new();

/// Opens the record. `run.sh` names the file in `RECORD`.
pub fn open_record() {
    let path = std::env::var("RECORD").expect("RECORD names the file of the record");
    let file = File::create(path).expect("the record can be written");
    let _ = RECORD.set((Mutex::new(file), Instant::now()));
    // A case that hangs could not run.
    thread::spawn(|| {
        thread::sleep(Duration::from_secs(110));
        cannot_run("not done after 110 s");
    });
}

/// Seconds since the record was opened.
pub fn at() -> f64 {
    RECORD.get().expect("the record is open").1.elapsed().as_secs_f64()
}

/// Writes one line to the record, with the time.
pub fn record(text: &str) {
    let (file, _) = RECORD.get().expect("the record is open");
    let _ = writeln!(file.lock().unwrap(), "{:9.4} {text}", at());
}

/// Writes one line to the record and to standard output.
pub fn say(text: &str) {
    record(text);
    println!("{text}");
}

/// Whether the disruption takes place.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Ends the case: 1 if the rule was broken, 0 if it held.
pub fn verdict(violations: &[String]) -> i32 {
    for violation in violations.iter().take(20) {
        say(&format!("BROKEN: {violation}"));
    }
    if violations.is_empty() {
        say("the rule held");
        0
    } else {
        say(&format!("the rule was broken {} times", violations.len()));
        1
    }
}

/// Ends the case with 2, as it could not run.
pub fn cannot_run(text: &str) -> ! {
    say(&format!("cannot run: {text}"));
    // `run-case.sh` ends the limiters that are noted in the temporary folder.
    std::process::exit(2);
}

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// A loopback address that is free for TCP and UDP. Ports below the system's range for outgoing connections are tried.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let base = 12_000 + u64::from(std::process::id()) * 37 % 16_000;
    for _ in 0..2000 {
        let port = base + NEXT.fetch_add(1, Ordering::Relaxed) % 3000;
        let address: SocketAddr = format!("127.0.0.1:{port}").parse().unwrap();
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
    cannot_run("no free port")
}

/// A message of HTTP/1.1 with its complete body.
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn closes(&self) -> bool {
        self.header("connection").is_some_and(|value| value.to_ascii_lowercase().contains("close"))
    }
}

fn line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut bytes = Vec::new();
    if reader.read_until(b'\n', &mut bytes)? == 0 {
        return Ok(None);
    }
    if bytes.last() != Some(&b'\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(Some(String::from_utf8_lossy(&bytes).trim_end().to_owned()))
}

/// Reads one message; `None` at the end of the stream.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(start) = line(reader)? else { return Ok(None) };
    let mut headers = Vec::new();
    loop {
        let text = line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if text.is_empty() {
            break;
        }
        if let Some((name, value)) = text.split_once(':') {
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
    let mut message = Message { start, headers, body: Vec::new() };
    if message.header("transfer-encoding").is_some() {
        loop {
            let text = line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
            let size = usize::from_str_radix(text.split(';').next().unwrap_or("").trim(), 16)
                .map_err(|_| io::ErrorKind::InvalidData)?;
            let mut chunk = vec![0; size];
            reader.read_exact(&mut chunk)?;
            message.body.extend_from_slice(&chunk);
            line(reader)?;
            if size == 0 {
                break;
            }
        }
    } else {
        let length = message.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

/// Serves connections on a free port, each in a thread; `serve` gets the stream.
pub fn listen(serve: impl Fn(TcpStream) -> io::Result<()> + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|_| cannot_run("no port"));
    let address = listener.local_addr().unwrap();
    serve_on(listener, serve);
    address
}

pub fn serve_on(
    listener: TcpListener,
    serve: impl Fn(TcpStream) -> io::Result<()> + Send + Sync + 'static,
) {
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let _ = serve(stream);
            });
        }
    });
}

/// One server of discovery's list.
#[derive(Clone)]
pub struct Instance {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    pub cell: u32,
    pub lifecycle: &'static str,
    pub started_at_ms: u64,
}

impl Instance {
    pub fn up(name: &str, address: SocketAddr) -> Instance {
        Instance {
            name: name.to_owned(),
            address,
            zone: "a".to_owned(),
            cell: 0,
            lifecycle: "up",
            started_at_ms: 0,
        }
    }

    fn json(&self) -> String {
        format!(
            r#"{{"instanceId":"{}","hostPort":"{}","zone":"{}","machineType":"m","cell":{},"lifecycle":"{}","weight":1.0,"startedAtMs":{}}}"#,
            self.name, self.address, self.zone, self.cell, self.lifecycle, self.started_at_ms
        )
    }
}

struct Listed {
    generation: u64,
    /// Each instance with the generation in which it changed last.
    instances: Vec<(u64, Instance)>,
    /// Each answer that was written whole: its generation and the time in the record.
    written: Vec<(u64, f64)>,
}

/// Discovery's agent: answers at once, and a watch once something newer exists or its time is over.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<(Mutex<Listed>, Condvar)>,
}

impl Discovery {
    pub fn start(instances: Vec<Instance>) -> Discovery {
        let instances = instances.into_iter().map(|instance| (1, instance)).collect();
        let state = Arc::new((Mutex::new(Listed { generation: 1, instances, written: Vec::new() }), Condvar::new()));
        let shared = state.clone();
        let address = listen(move |stream| {
            let mut reader = BufReader::new(stream.try_clone()?);
            let mut stream = stream;
            while let Some(call) = read_message(&mut reader)? {
                let (generation, text) = respond(&shared, &call.start);
                write!(
                    stream,
                    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{text}",
                    text.len()
                )?;
                shared.0.lock().unwrap().written.push((generation, at()));
            }
            Ok(())
        });
        Discovery { address, state }
    }

    /// Adds an instance, or changes the one of that name. An instance with the lifecycle `removed` stays in changes only.
    pub fn set(&self, instance: Instance) -> u64 {
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        state.generation += 1;
        let generation = state.generation;
        record(&format!("discovery: {} is {} (generation {generation})", instance.name, instance.lifecycle));
        state.instances.retain(|(_, known)| known.name != instance.name);
        state.instances.push((generation, instance));
        changed.notify_all();
        generation
    }

    /// When the limiter was told of this generation: the time in the record at which it was written. `None` before.
    pub fn told_at(&self, generation: u64) -> Option<f64> {
        let state = self.state.0.lock().unwrap();
        state.written.iter().find(|(written, _)| *written >= generation).map(|(_, at)| *at)
    }

    /// The whole list, as a limiter finds it in its configuration.
    pub fn known(&self) -> String {
        whole(&self.state.0.lock().unwrap())
    }
}

fn whole(state: &Listed) -> String {
    let list: Vec<String> = state
        .instances
        .iter()
        .filter(|(_, instance)| instance.lifecycle != "removed")
        .map(|(_, instance)| instance.json())
        .collect();
    format!(r#"{{"generation":{},"reset":true,"instances":[{}]}}"#, state.generation, list.join(","))
}

fn respond((lock, changed): &(Mutex<Listed>, Condvar), start: &str) -> (u64, String) {
    let number = |name: &str| -> Option<u64> {
        start.split(name).nth(1)?.split(['&', ' ']).next()?.parse().ok()
    };
    let mut state = lock.lock().unwrap();
    let Some(after) = number("after=") else { return (state.generation, whole(&state)) };
    let until = Instant::now() + ms(number("wait_ms=").unwrap_or(0).min(60_000));
    while state.generation <= after {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            break;
        }
        state = changed.wait_timeout(state, left).unwrap().0;
    }
    if after > state.generation {
        return (state.generation, whole(&state));
    }
    let changes: Vec<String> = state
        .instances
        .iter()
        .filter(|(generation, _)| *generation > after)
        .map(|(_, instance)| instance.json())
        .collect();
    let text = format!(r#"{{"generation":{},"reset":false,"instances":[{}]}}"#, state.generation, changes.join(","));
    (state.generation, text)
}

/// A client's connection to a limiter.
pub struct Client {
    pub stream: TcpStream,
    pub reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Client> {
        let stream = TcpStream::connect_timeout(&address, ms(2000))?;
        stream.set_nodelay(true)?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Client { stream, reader })
    }

    /// Sends a request and reads the whole answer; waits for `wait` at most.
    pub fn call(&mut self, text: &[u8], wait: Duration) -> io::Result<Message> {
        self.stream.set_read_timeout(Some(wait))?;
        self.stream.write_all(text)?;
        read_message(&mut self.reader)?.ok_or(io::ErrorKind::UnexpectedEof.into())
    }
}

/// A fresh request id.
pub fn fresh_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    static BASE: OnceLock<u64> = OnceLock::new();
    let base = BASE.get_or_init(|| unix_ms() << 20);
    format!("{:016x}", base + NEXT.fetch_add(1, Ordering::Relaxed))
}

/// What a request of a client carries.
#[derive(Clone)]
pub struct Ask {
    pub id: String,
    pub class: &'static str,
    pub plan: &'static str,
    pub customer: u64,
    pub remaining_ms: u64,
    pub units: u32,
    pub spread: u32,
    pub first: u32,
    /// Key of a class that is keyed.
    pub key: Option<String>,
    /// `None` for a class that is safe to repeat, which uses GET.
    pub body: Option<Vec<u8>>,
}

impl Ask {
    pub fn get(class: &'static str, plan: &'static str, customer: u64, remaining_ms: u64) -> Ask {
        Ask {
            id: fresh_id(),
            class,
            plan,
            customer,
            remaining_ms,
            units: 1,
            spread: 1,
            first: 0,
            key: None,
            body: None,
        }
    }

    pub fn wire(&self) -> Vec<u8> {
        let method = if self.body.is_some() { "POST" } else { "GET" };
        let mut text = format!(
            "{method} /{}?key={:016x} HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: {}\r\nX-Lane: {}\r\nX-Plan: {}\r\nX-Remaining: {}m\r\nX-Quota: units={},spread={},first={}\r\n",
            self.class, self.customer, self.id, self.class, self.plan, self.remaining_ms, self.units, self.spread, self.first
        );
        if let Some(key) = &self.key {
            text += &format!("Idempotency-Key: {key}\r\n");
        }
        if let Some(body) = &self.body {
            text += &format!("Content-Length: {}\r\n", body.len());
        }
        let mut bytes = (text + "\r\n").into_bytes();
        bytes.extend_from_slice(self.body.as_deref().unwrap_or(&[]));
        bytes
    }
}

/// The root of the checkout, named by `run.sh`.
pub fn root() -> PathBuf {
    PathBuf::from(std::env::var("ROOT").expect("ROOT names the checkout"))
}

/// The temporary folder of this run, made by `run.sh`.
pub fn folder() -> PathBuf {
    PathBuf::from(std::env::var("FOLDER").expect("FOLDER names the temporary folder"))
}

/// The process of a limiter, started with `run` of the deploy file. Killed when dropped.
pub struct Limiter {
    pub name: String,
    child: Child,
    config: PathBuf,
    log: PathBuf,
    ended: Option<String>,
}

impl Limiter {
    /// Starts a limiter with this configuration. `inherited` becomes descriptor 7, as at an upgrade.
    pub fn start(name: &str, config: &str, inherited: Option<&TcpListener>) -> Limiter {
        let path = folder().join(format!("{name}.json"));
        std::fs::write(&path, config).expect("the configuration can be written");
        let log = folder().join(format!("{name}.log"));
        let out = File::create(&log).expect("the log can be written");
        let run = std::env::var("RUN").expect("RUN is the deploy file's command");
        let mut command = Command::new("/bin/sh");
        match inherited {
            Some(listener) => {
                let copy = listener.try_clone().expect("a copy of the socket");
                command
                    .arg("-c")
                    .arg(format!("exec 7<&0 0</dev/null; {run}"))
                    .env("PROXY_LISTEN_FD", "7")
                    .stdin(Stdio::from(std::os::fd::OwnedFd::from(copy)));
            }
            None => {
                command.arg("-c").arg(run).stdin(Stdio::null());
            }
        }
        let child = command
            .current_dir(root())
            .env("PROXY_CONFIG", &path)
            .env("TMPDIR", folder())
            .stdout(out.try_clone().unwrap())
            .stderr(out)
            .spawn()
            .unwrap_or_else(|error| cannot_run(&format!("the limiter does not start: {error}")));
        record(&format!("{name}: started as process {}", child.id()));
        let _ = std::fs::write(folder().join(format!("{}.pid", child.id())), "");
        Limiter { name: name.to_owned(), child, config: path, log, ended: None }
    }

    pub fn process(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, name: &str) {
        record(&format!("{}: SIG{name}", self.name));
        let _ = Command::new("/bin/sh")
            .arg("-c")
            .arg(format!("kill -{name} {}", self.child.id()))
            .status();
    }

    /// Replaces the configuration file and sends SIGHUP.
    pub fn reload(&self, config: &str) {
        let new = self.config.with_extension("new");
        std::fs::write(&new, config).expect("the configuration can be written");
        std::fs::rename(&new, &self.config).expect("the configuration can be replaced");
        record(&format!("{}: new configuration", self.name));
        self.signal("HUP");
    }

    /// How the process ended; `None` while it runs.
    pub fn ended(&mut self) -> Option<String> {
        if self.ended.is_none()
            && let Ok(Some(status)) = self.child.try_wait()
        {
            record(&format!("{}: ended: {status}", self.name));
            self.ended = Some(status.to_string());
        }
        self.ended.clone()
    }

    /// Waits until `GET /up` answers 200.
    pub fn wait_until_up(&mut self, address: SocketAddr) {
        for _ in 0..300 {
            let up = Client::connect(address)
                .and_then(|mut client| client.call(b"GET /up HTTP/1.1\r\nHost: origin.svc\r\n\r\n", ms(500)))
                .is_ok_and(|answer| answer.status() == 200);
            if up {
                record(&format!("{}: up", self.name));
                return;
            }
            if self.ended().is_some() {
                break;
            }
            thread::sleep(ms(50));
        }
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        cannot_run(&format!("{} is not up: {log}", self.name));
    }

    /// The last lines of the log, for the record.
    pub fn record_log(&self) {
        let mut text = String::new();
        if let Ok(mut file) = File::open(&self.log) {
            let _ = file.read_to_string(&mut text);
        }
        let lines: Vec<&str> = text.lines().collect();
        for line in &lines[lines.len().saturating_sub(25)..] {
            record(&format!("{} says: {line}", self.name));
        }
    }
}

impl Drop for Limiter {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(folder().join(format!("{}.pid", self.child.id())));
    }
}

/// Whether a program was built.
pub fn is_built(path: &Path) -> bool {
    path.exists()
}
