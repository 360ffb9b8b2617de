//! Stand-ins for clients, servers, discovery and the network, and control of the limiter's processes. Standard library only.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

/// The script ends by itself after this time at the latest, with the code for a case that could not run.
const WATCHDOG: Duration = Duration::from_secs(110);

pub fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// The record of one run: one line for each thing that was sent, answered or run.
pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

static RECORD: OnceLock<Record> = OnceLock::new();
static TEMP: OnceLock<PathBuf> = OnceLock::new();
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

pub fn note(line: impl AsRef<str>) {
    if let Some(record) = RECORD.get() {
        let at = record.start.elapsed().as_secs_f64();
        let mut file = record.file.lock().unwrap_or_else(|e| e.into_inner());
        let _ = writeln!(file, "{at:9.4} {}", line.as_ref());
    }
}

/// What a case needs to know of its surroundings.
pub struct Setup {
    pub trouble: bool,
    /// The project's root folder.
    pub root: PathBuf,
    /// The command of the deploy file that runs one limiter.
    pub run: String,
    /// A temporary folder of this run.
    pub temp: PathBuf,
}

fn kill_children() {
    for pid in CHILDREN.lock().unwrap_or_else(|e| e.into_inner()).drain(..) {
        let _ = Command::new("kill").args(["-KILL", &pid.to_string()]).stderr(Stdio::null()).status();
    }
}

/// Ends the script: kills what it started, and removes its temporary folder.
pub fn finish(setup: &Setup, code: i32, verdict: &str) -> ! {
    note(format!("verdict: {verdict}; exit {code}"));
    println!("{verdict}");
    kill_children();
    let _ = std::fs::remove_dir_all(&setup.temp);
    std::process::exit(code)
}

/// Starts a case. The arguments are the case's folder.
pub fn setup() -> Setup {
    // A stand-in or driver that fails is no verdict: the case could not run.
    std::panic::set_hook(Box::new(|panic| {
        note(format!("the driver failed: {panic}"));
        eprintln!("the driver failed: {panic}");
        kill_children();
        if let Some(temp) = TEMP.get() {
            let _ = std::fs::remove_dir_all(temp);
        }
        std::process::exit(2);
    }));
    let folder = PathBuf::from(std::env::args().nth(1).expect("the case's folder"));
    let file = File::create(folder.join("record.txt")).expect("record.txt can be written");
    let _ = RECORD.set(Record { file: Mutex::new(file), start: Instant::now() });
    let root = folder.join("../..").canonicalize().expect("the root");
    let deploy = std::fs::read_to_string(root.join("deploy/balancer.toml")).expect("the deploy file");
    let run = deploy
        .lines()
        .find_map(|line| line.strip_prefix("run = \""))
        .and_then(|rest| rest.split('"').next())
        .expect("the command `run`")
        .to_owned();
    if !root.join("target/release/merlinreel").is_file() {
        eprintln!("the limiter is not built");
        std::process::exit(2);
    }
    let temp = std::env::temp_dir().join(format!("merlinreel-review-{}", std::process::id()));
    std::fs::create_dir_all(&temp).expect("a temporary folder");
    let _ = TEMP.set(temp.clone());
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    note(format!("run with trouble: {trouble}"));
    let watched = temp.clone();
    thread::spawn(move || {
        thread::sleep(WATCHDOG);
        note("watchdog: the case could not run to its end");
        kill_children();
        let _ = std::fs::remove_dir_all(&watched);
        std::process::exit(2);
    });
    Setup { trouble, root, run, temp }
}

/// A free loopback port, for TCP and UDP alike.
pub fn free_address() -> SocketAddr {
    static TAKEN: Mutex<Vec<u16>> = Mutex::new(Vec::new());
    loop {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let mut taken = TAKEN.lock().unwrap_or_else(|e| e.into_inner());
        if !taken.contains(&address.port()) && UdpSocket::bind(address).is_ok() {
            taken.push(address.port());
            return address;
        }
    }
}

/// One process of the limiter.
pub struct Limiter {
    pub name: String,
    pub child: Child,
    pub config: PathBuf,
    pub log: PathBuf,
    pub listen: SocketAddr,
}

impl Limiter {
    /// Starts a process with the deploy file's command, and waits until it is ready.
    pub fn start(setup: &Setup, name: &str, listen: SocketAddr, config_text: &str) -> Limiter {
        let config = setup.temp.join(format!("{name}.json"));
        let log = setup.temp.join(format!("{name}.log"));
        std::fs::write(&config, config_text).expect("the configuration is written");
        let log_file = File::options().create(true).append(true).open(&log).expect("a log file");
        let child = Command::new("/bin/sh")
            .args(["-c", &setup.run])
            .current_dir(&setup.root)
            .env("PROXY_NAME", name)
            .env("PROXY_CONFIG", &config)
            .env("PROXY_LISTEN", listen.to_string())
            .stdin(Stdio::null())
            .stdout(log_file.try_clone().expect("a descriptor"))
            .stderr(log_file)
            .spawn()
            .expect("the limiter is started");
        CHILDREN.lock().unwrap_or_else(|e| e.into_inner()).push(child.id());
        let limiter = Limiter { name: name.to_owned(), child, config, log, listen };
        let start = Instant::now();
        while start.elapsed() < ms(10_000) {
            if let Ok(mut client) = Client::connect(listen) {
                if client.call("GET /up HTTP/1.1\r\nHost: svc\r\n\r\n", ms(1000)).is_ok_and(|a| a.status == 200) {
                    note(format!("{name}: ready at {listen}, process {}", limiter.child.id()));
                    return limiter;
                }
            }
            thread::sleep(ms(20));
        }
        finish(setup, 2, &format!("{name} was not ready within 10 s"))
    }

    pub fn signal(&self, signal: &str) {
        note(format!("{}: signal {signal}", self.name));
        let _ = Command::new("kill").args([signal, &self.child.id().to_string()]).status();
    }

    /// How the process ended, if it has.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Limiter {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        CHILDREN.lock().unwrap_or_else(|e| e.into_inner()).retain(|&pid| pid != self.child.id());
    }
}

/// A request as it arrived.
#[derive(Clone, Debug)]
pub struct Message {
    pub start_line: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 || !line.ends_with('\n') {
        return Err(ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end().to_owned())
}

fn read_head(reader: &mut impl BufRead) -> io::Result<Message> {
    let start_line = read_line(reader)?;
    let mut headers = HashMap::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Ok(Message { start_line, headers, body: Vec::new() });
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let line = read_line(reader)?;
        let size = usize::from_str_radix(line.split(';').next().unwrap_or(""), 16)
            .map_err(|_| io::Error::from(ErrorKind::InvalidData))?;
        let mut chunk = vec![0; size];
        reader.read_exact(&mut chunk)?;
        body.extend(chunk);
        read_line(reader)?;
        if size == 0 {
            return Ok(());
        }
    }
}

/// Reads a request with its body; `None` at the end of the connection.
pub fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    if reader.fill_buf()?.is_empty() {
        return Ok(None);
    }
    let mut message = read_head(reader)?;
    if message.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        let mut body = Vec::new();
        read_chunks(reader, &mut body)?;
        message.body = body;
    } else if let Ok(length) = message.header("content-length").parse::<usize>() {
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

/// An answer as a client received it whole.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub body: String,
    pub closes: bool,
}

/// A client's connection.
pub struct Client {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Client> {
        let stream = TcpStream::connect_timeout(&address, ms(1000))?;
        stream.set_nodelay(true)?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Client { stream, reader })
    }

    pub fn send(&mut self, text: &str) -> io::Result<()> {
        self.stream.write_all(text.as_bytes())
    }

    /// Reads one whole answer; an error if the connection ends or the time is up before.
    pub fn receive(&mut self, within: Duration) -> io::Result<Answer> {
        self.stream.set_read_timeout(Some(within))?;
        let head = read_head(&mut self.reader)?;
        let status = head.start_line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0);
        let mut body = Vec::new();
        if head.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
            read_chunks(&mut self.reader, &mut body)?;
        } else if let Ok(length) = head.header("content-length").parse::<usize>() {
            body.resize(length, 0);
            self.reader.read_exact(&mut body)?;
        } else {
            self.reader.read_to_end(&mut body)?;
        }
        Ok(Answer {
            status,
            body: String::from_utf8_lossy(&body).into_owned(),
            closes: head.header("connection").eq_ignore_ascii_case("close"),
        })
    }

    pub fn call(&mut self, text: &str, within: Duration) -> io::Result<Answer> {
        self.send(text)?;
        self.receive(within)
    }

    pub fn close(&self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

/// A fresh request id.
pub fn fresh_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!("{:016x}", 0x9b1f_0000_0000_0000 + NEXT.fetch_add(1, Ordering::Relaxed))
}

/// What a client asks for.
pub struct Ask<'a> {
    pub class: &'a str,
    pub plan: &'a str,
    pub customer: u64,
    pub remaining_ms: u64,
    pub spread: usize,
    pub first: usize,
    /// The idempotency key, for keyed classes.
    pub key: Option<&'a str>,
    /// Whether the class comes by POST with a body.
    pub post: bool,
}

pub fn request_text(id: &str, ask: &Ask) -> String {
    let method = if ask.post { "POST" } else { "GET" };
    let mut text = format!(
        "{method} /{}?key={:016x} HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: {id}\r\nX-Lane: {}\r\nX-Plan: {}\r\n\
         X-Remaining: {}m\r\nX-Quota: units=1,spread={},first={}\r\n",
        ask.class, ask.customer, ask.class, ask.plan, ask.remaining_ms, ask.spread, ask.first
    );
    if let Some(key) = ask.key {
        text += &format!("Idempotency-Key: {key}\r\n");
    }
    if ask.post {
        let body = format!("body of {id}");
        text += &format!("Content-Length: {}\r\n\r\n{body}", body.len());
    } else {
        text += "\r\n";
    }
    text
}

/// Starts a server: `serve` is called for each connection, on a thread of its own.
pub fn start_server(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            let _ = stream.set_nodelay(true);
            thread::spawn(move || serve(stream));
        }
    });
    address
}

/// A network path to `target` with a delay in each direction.
pub fn start_link(target: SocketAddr, one_way: Duration) -> SocketAddr {
    start_server(move |near| {
        let Ok(far) = TcpStream::connect(target) else { return };
        let _ = far.set_nodelay(true);
        let (Ok(near2), Ok(far2)) = (near.try_clone(), far.try_clone()) else { return };
        thread::spawn(move || relay(far2, near2, one_way));
        relay(near, far, one_way);
    })
}

fn relay(mut from: TcpStream, mut to: TcpStream, delay: Duration) {
    let mut buffer = vec![0; 64 * 1024];
    loop {
        let read = from.read(&mut buffer).unwrap_or(0);
        thread::sleep(delay);
        if read == 0 || to.write_all(&buffer[..read]).is_err() {
            let _ = to.shutdown(Shutdown::Write);
            let _ = from.shutdown(Shutdown::Read);
            return;
        }
    }
}

/// One server in discovery's list.
#[derive(Clone)]
pub struct Instance {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    pub cell: u32,
    pub lifecycle: &'static str,
}

impl Instance {
    pub fn up(name: &str, address: SocketAddr, zone: &str) -> Instance {
        Instance { name: name.into(), address, zone: zone.into(), cell: 0, lifecycle: "up" }
    }

    fn json(&self) -> String {
        format!(
            r#"{{"instanceId":"{}","hostPort":"{}","zone":"{}","machineType":"std-2c","cell":{},"lifecycle":"{}","weight":1.0,"startedAtMs":0}}"#,
            self.name, self.address, self.zone, self.cell, self.lifecycle
        )
    }
}

pub fn list_json(generation: u64, reset: bool, instances: &[Instance]) -> String {
    let items: Vec<String> = instances.iter().map(Instance::json).collect();
    format!(r#"{{"generation":{generation},"reset":{reset},"instances":[{}]}}"#, items.join(","))
}

/// A discovery whose list never changes: it answers a call for the list at once, and a watch at the end of its wait.
pub fn start_discovery(instances: Vec<Instance>) -> SocketAddr {
    start_server(move |stream| {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(message)) = read_request(&mut reader) {
            let target = message.start_line.split(' ').nth(1).unwrap_or("").to_owned();
            let value = |name: &str| {
                target.split(['?', '&']).find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))?.parse::<u64>().ok()
            };
            let body = match value("after") {
                Some(1) => {
                    thread::sleep(ms(value("wait_ms").unwrap_or(0).min(60_000)));
                    list_json(1, false, &[])
                }
                _ => list_json(1, true, &instances),
            };
            if write!(writer, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).is_err() {
                return;
            }
        }
    })
}

/// The settings of a small deployment with three classes (safe, keyed, unsafe), as the wire names them.
pub fn settings_json(limiters: usize, rank: usize, plans: &str) -> String {
    format!(
        r#"{{"balancers":{limiters},"rank":{rank},"zone":0,"dcs":["hall-a","hall-b"],"discovery":"automatic","kindOfService":"gate",
"classes":[
{{"name":"subset-fetch","idempotency":"read_like","group":"all","keyTtlS":5.0,"promiseS":0.5,"hardLimitS":1.5,"worth":1.0,"lateShare":0.0,"streaming":false}},
{{"name":"kit-publish","idempotency":"idempotency_key","group":"zone","keyTtlS":0.6,"promiseS":0.25,"hardLimitS":1.0,"worth":5.0,"lateShare":0.0,"streaming":false}},
{{"name":"licence-charge","idempotency":"non_idempotent","group":"all","keyTtlS":5.0,"promiseS":0.75,"hardLimitS":3.0,"worth":3.0,"lateShare":0.0,"streaming":false}}],
"packages":[{plans}],
"familyInfo":{{"hasCounter":false,"inboxPerS":40.0,"maxUnits":8,"settles":true}},
"kinds":["std-2c"],
"policyLimits":{{"connIdleS":15.0,"connectTimeoutS":0.25,"cpuUsPerS":400000,"maxRetryAfterS":1.0,"mayCancel":true,"mostHeld":20000,"peers":true,"probes":true,"retryAfter":true,"secondCopies":false,"sendCap":5,"streamsPerConn":32}},
"report":{{"how":"answers","fields":["cpu_share","pending","served_ps"]}},
"rules":{{"answerSlackS":0.016,"askWithinS":10.0,"coldS":17.0,"drainGraceS":2.0,"fallS":3.0,"overloadFactor":2.5,"startCapacity":0.2}},
"tickS":0.002,"stage":0,"tiers":["font-workers"],"weightSource":"rough"}}"#
    )
}

pub const PLAN_BASIC: &str = r#"{"name":"basic","unitsPerS":60.0,"mostAtOnce":300.0,"price":1.1,"beyondEarns":0.3,"overrunCost":0.0}"#;
pub const PLAN_STUDIO: &str = r#"{"name":"studio","unitsPerS":400.0,"mostAtOnce":800.0,"price":1.6,"beyondEarns":0.0,"overrunCost":0.8}"#;

/// The configuration file of one limiter.
pub fn config_json(
    name: &str, listen: SocketAddr, discovery: SocketAddr, peers: &[SocketAddr], rank: usize, known: &[Instance], settings: &str,
) -> String {
    let all: Vec<String> = peers.iter().map(|peer| format!("\"{peer}\"")).collect();
    format!(
        r#"{{"name":"{name}","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be96{rank}",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"peer_listen":"{}","peers":[{}],
"known":{},"settings":{settings}}}"#,
        peers[rank], all.join(","), list_json(1, true, known)
    )
}

/// A flag that threads share.
pub type Flag = Arc<AtomicBool>;

pub fn path_exists(path: &Path) -> bool {
    path.exists()
}
