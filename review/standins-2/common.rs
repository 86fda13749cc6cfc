//! Stand-ins that the scripts of this review share: the platform's store, endpoints, callers, and the
//! processes of the fleet. Only the standard library is used.
#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    env, fs,
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    os::{fd::AsRawFd, unix::process::CommandExt},
    path::PathBuf,
    process::{Child, Command, Stdio, exit},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn prctl(option: i32, argument: u64, unused3: u64, unused4: u64, unused5: u64) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;
const PR_SET_PDEATHSIG: i32 = 1;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;

/// Time after which a script ends whatever it waits for.
const TIME_LIMIT: Duration = Duration::from_secs(115);

pub const HOST: &str = "jepu9.example";
const PROGRAM: &str = "target/release/pistachiotrack-platform";

/// Sets the size of a socket's receive buffer; accepted connections inherit that of their listener.
pub fn set_receive_buffer(socket: &impl AsRawFd, bytes: i32) {
    unsafe { setsockopt(socket.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &bytes, 4) };
}

/// Whether the disruption takes place.
pub fn has_trouble() -> bool {
    env::var("TROUBLE").as_deref() != Ok("0")
}

/// Writes what was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<fs::File>)>);

impl Record {
    /// Creates the file. From here on the script ends in time, and with its processes if it panics.
    pub fn create(path: &str) -> Record {
        std::panic::set_hook(Box::new(|info| cannot_run(&info.to_string())));
        thread::spawn(|| {
            thread::sleep(TIME_LIMIT);
            cannot_run("the time limit of a script has passed");
        });
        let file = fs::File::create(path).unwrap_or_else(|error| cannot_run(&format!("{path}: {error}")));
        Record(Arc::new((Instant::now(), Mutex::new(file))))
    }

    pub fn line(&self, text: &str) {
        let (start, file) = &*self.0;
        let line = format!("{:8.3} s  {text}\n", start.elapsed().as_secs_f64());
        file.lock().unwrap().write_all(line.as_bytes()).unwrap();
        print!("{line}");
    }
}

/// Ends the script as one that could not run.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("could not run: {why}");
    clean_up();
    exit(2)
}

static PROCESSES: Mutex<Vec<i32>> = Mutex::new(Vec::new());

/// Kills all processes of the fleet that this script has started.
pub fn kill_all() {
    for pid in PROCESSES.lock().unwrap_or_else(|e| e.into_inner()).drain(..) {
        unsafe { kill(pid, SIGKILL) };
    }
}

/// Temporary folder of this script.
fn directory() -> PathBuf {
    env::temp_dir().join(format!("review-2-{}", std::process::id()))
}

/// Ends all processes and removes the temporary folder, unless `KEEP` is set.
fn clean_up() {
    kill_all();
    if env::var_os("KEEP").is_none() {
        let _ = fs::remove_dir_all(directory());
    }
}

/// Ends the script with its result.
pub fn finish(record: &Record, is_broken: bool, rule: &str) -> ! {
    let verdict = if is_broken { "broken" } else { "held" };
    record.line(&format!("rule {rule}: {verdict}"));
    clean_up();
    exit(i32::from(is_broken))
}

// ---- HTTP ----

/// Head of a request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub start: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }
    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }
    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }
    pub fn status(&self) -> u16 {
        self.path().parse().unwrap_or(0)
    }
    pub fn length(&self) -> Option<usize> {
        self.field("content-length")?.trim().parse().ok()
    }
    pub fn is_chunked(&self) -> bool {
        self.field("transfer-encoding").is_some_and(|v| v.to_ascii_lowercase().contains("chunked"))
    }
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    let mut line = String::new();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let text = line.trim_end();
        if text.is_empty() {
            if head.start.is_empty() {
                continue;
            }
            return Ok(Some(head));
        }
        if head.start.is_empty() {
            head.start = text.to_owned();
        } else if let Some((name, value)) = text.split_once(':') {
            head.fields.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

fn eof(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, what.to_owned())
}

/// Reads a body; an error if it isn't complete.
pub fn read_body(reader: &mut impl BufRead, head: &Head, to_end: bool) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if head.is_chunked() {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(eof("body cut"));
            }
            let size = line.trim().split(';').next().unwrap_or_default();
            let size = usize::from_str_radix(size, 16).map_err(|_| eof("bad chunk"))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
    match head.length() {
        Some(length) => {
            body.resize(length, 0);
            reader.read_exact(&mut body)?;
        }
        None if to_end => {
            reader.read_to_end(&mut body)?;
        }
        None => {}
    }
    Ok(body)
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Answer {
    pub head: Head,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn is_signed(&self) -> bool {
        self.head.field("x-pistachiotrack-server-signature").is_some()
    }
    pub fn text(&self) -> String {
        format!(
            "{} signature {} id {} body {} bytes",
            self.head.status(),
            self.head.field("x-pistachiotrack-server-signature").unwrap_or("none"),
            self.head.field("x-pistachiotrack-request-id").unwrap_or("none"),
            self.body.len()
        )
    }
}

/// Reads an answer, without interim ones.
pub fn read_answer(reader: &mut impl BufRead) -> io::Result<Answer> {
    loop {
        let head = read_head(reader)?.ok_or_else(|| eof("connection closed without an answer"))?;
        if head.status() < 200 {
            continue;
        }
        let body = read_body(reader, &head, true)?;
        return Ok(Answer { head, body });
    }
}

/// Sends a request on a new connection and reads its answer.
pub fn call(address: SocketAddr, request: &[u8], limit: Duration) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(limit))?;
    stream.write_all(request)?;
    read_answer(&mut BufReader::new(stream))
}

/// Returns a caller's request.
pub fn request(method: &str, path: &str, id: &str, deadline_ms: u64, body: &[u8]) -> Vec<u8> {
    let mut text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Pistachiotrack-Request-Id: {id}\r\n\
         X-Pistachiotrack-Deadline-Ms: {deadline_ms}\r\n"
    );
    if method != "GET" {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Returns a new request ID.
pub fn new_id() -> String {
    static NEXT: Mutex<u64> = Mutex::new(0);
    let mut next = NEXT.lock().unwrap();
    *next += 1;
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_nanos() as u64;
    format!("{:016x}", now.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ *next)
}

// ---- the platform's store ----

#[derive(Clone)]
struct Item {
    value: String,
    rev: u64,
    created: u64,
}

#[derive(Default)]
struct Content {
    rev: u64,
    items: BTreeMap<String, Item>,
    events: Vec<(u64, String)>,
}

/// The platform's store, as far as the fleet reads it.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    content: Arc<(Mutex<Content>, Condvar)>,
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let n = chunk.iter().fold(0u32, |n, b| n << 8 | u32::from(*b)) << (8 * (3 - chunk.len()));
        for i in 0..4 {
            let digit = DIGITS[(n >> (18 - 6 * i) & 63) as usize] as char;
            text.push(if i <= chunk.len() { digit } else { '=' });
        }
    }
    text
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut i = 0;
    while i < bytes.len() {
        if bytes[i] == b'%' && i + 2 < bytes.len() {
            if let Ok(b) = u8::from_str_radix(&text[i + 1..i + 3], 16) {
                out.push(b);
                i += 3;
                continue;
            }
        }
        out.push(bytes[i]);
        i += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"rev\":{},\"create_revision\":{},\"lease\":0",
        item.value, item.rev, item.created
    )
}

impl Store {
    pub fn start(address: SocketAddr) -> Store {
        let listener = TcpListener::bind(address)
            .unwrap_or_else(|error| cannot_run(&format!("store {address}: {error}")));
        let content = Content { rev: 400, ..Content::default() };
        let store = Store {
            address: listener.local_addr().unwrap(),
            content: Arc::new((Mutex::new(content), Condvar::new())),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || drop(store.serve(stream)));
            }
        });
        store
    }

    /// Writes a value, at the return of which it is confirmed.
    pub fn put(&self, key: &str, json: &str) {
        let mut content = self.content.0.lock().unwrap();
        content.rev += 1;
        let rev = content.rev;
        let created = content.items.get(key).map_or(rev, |item| item.created);
        content.items.insert(key.to_owned(), Item { value: base64(json.as_bytes()), rev, created });
        content.events.push((rev, key.to_owned()));
        self.content.1.notify_all();
    }

    /// Removes a value.
    pub fn remove(&self, key: &str) {
        let mut content = self.content.0.lock().unwrap();
        content.rev += 1;
        let rev = content.rev;
        content.items.remove(key);
        content.events.push((rev, key.to_owned()));
        self.content.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut writer = stream;
        while let Some(head) = read_head(&mut reader)? {
            read_body(&mut reader, &head, false)?;
            thread::sleep(Duration::from_millis(4));
            let (status, body) = self.answer(head.path());
            let text = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            writer.write_all(text.as_bytes())?;
        }
        Ok(())
    }

    fn answer(&self, path: &str) -> (u16, String) {
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let query: BTreeMap<&str, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name, percent_decode(value)))
            .collect();
        let get = |name: &str| query.get(name).map_or("", String::as_str);
        let (lock, changed) = &*self.content;
        let mut content = lock.lock().unwrap();
        match path {
            "/kv-key" => match content.items.get(get("key")) {
                Some(item) => {
                    let json = item_json(get("key"), item);
                    (200, format!("{json},\"store_revision\":{}}}", content.rev))
                }
                None => (404, String::from("{}")),
            },
            "/kv-range" => {
                let (prefix, after) = (get("prefix"), get("after"));
                let items: Vec<String> = content
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
                    .map(|(key, item)| item_json(key, item) + "}")
                    .collect();
                let items = items.join(",");
                let rev = content.rev;
                (200, format!("{{\"items\":[{items}],\"truncated\":false,\"store_revision\":{rev}}}"))
            }
            "/kv-watch" => {
                let (prefix, after) = (get("prefix").to_owned(), get("after").parse().unwrap_or(0));
                let until = Instant::now() + Duration::from_millis(get("wait_ms").parse().unwrap_or(0));
                loop {
                    let latest: BTreeMap<&String, u64> = content
                        .events
                        .iter()
                        .filter(|(rev, key)| *rev > after && key.starts_with(&prefix))
                        .map(|(rev, key)| (key, *rev))
                        .collect();
                    let mut events: Vec<(u64, String)> = latest
                        .into_iter()
                        .map(|(key, rev)| match content.items.get(key) {
                            Some(item) => (rev, item_json(key, item) + "}"),
                            None => (rev, format!("{{\"key\":\"{key}\",\"rev\":{rev},\"removed\":true}}")),
                        })
                        .collect();
                    events.sort();
                    let left = until.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let events: Vec<String> = events.into_iter().map(|(_, event)| event).collect();
                        let (events, rev) = (events.join(","), content.rev);
                        return (200, format!("{{\"events\":[{events}],\"store_revision\":{rev}}}"));
                    }
                    content = changed.wait_timeout(content, left).unwrap().0;
                }
            }
            _ => (404, String::from("{}")),
        }
    }
}

// ---- endpoints ----

/// What is known of a request at an endpoint.
pub struct Arrived<'a> {
    pub head: &'a Head,
    pub id: String,
    pub endpoint: &'a str,
    pub reader: &'a mut BufReader<TcpStream>,
    pub writer: &'a mut TcpStream,
}

/// Handles a request of a caller at an endpoint; returns whether the connection goes on.
pub type Handler = Arc<dyn Fn(&mut Arrived<'_>) -> io::Result<bool> + Send + Sync>;

/// Writes the entry of an endpoint. Its heartbeats renew the entry, which changes only when more than
/// `seq` changes, so that they show in no watch and are left out here.
pub fn register(
    store: &Store,
    name: &str,
    service: &str,
    zone: &str,
    address: SocketAddr,
    state: &str,
    seq: u64,
) {
    store.put(
        &format!("servers/{name}"),
        &format!(
            "{{\"address\":\"{address}\",\"info\":{{\"service\":\"{service}\",\"version\":\"v1\",\
             \"zone\":\"{zone}\",\"slots\":6}},\"status\":{{\"state\":\"{state}\",\"seq\":{seq},\
             \"warmup_left_s\":0}}}}"
        ),
    );
}

/// Starts an endpoint that registers in the store.
pub fn start_endpoint(
    store: &Store,
    name: &str,
    service: &str,
    zone: &str,
    address: SocketAddr,
    receive_buffer: Option<i32>,
    handler: Handler,
) -> SocketAddr {
    let listener = TcpListener::bind(address)
        .unwrap_or_else(|error| cannot_run(&format!("endpoint {address}: {error}")));
    if let Some(bytes) = receive_buffer {
        set_receive_buffer(&listener, bytes);
    }
    let address = listener.local_addr().unwrap();
    register(store, name, service, zone, address, "ready", 1);
    let name = name.to_owned();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (name, handler) = (name.clone(), Arc::clone(&handler));
            thread::spawn(move || drop(serve_endpoint(stream, &name, &handler)));
        }
    });
    address
}

fn serve_endpoint(stream: TcpStream, name: &str, handler: &Handler) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::with_capacity(1024, stream.try_clone()?);
    let mut writer = stream;
    while let Some(head) = read_head(&mut reader)? {
        let Some(id) = head.field("x-pistachiotrack-request-id").map(str::to_owned) else {
            read_body(&mut reader, &head, false)?;
            write!(
                writer,
                "HTTP/1.1 200 OK\r\nX-Pistachiotrack-Instance-Id: {name}\r\nContent-Length: 0\r\n\r\n"
            )?;
            continue;
        };
        if head.field("x-pistachiotrack-expect-instance").is_some_and(|expected| expected != name) {
            read_body(&mut reader, &head, false)?;
            write!(
                writer,
                "HTTP/1.1 421 Misdirected Request\r\nX-Pistachiotrack-Instance-Id: {name}\r\n\
                 X-Pistachiotrack-Request-Id: {id}\r\nContent-Length: 0\r\n\r\n"
            )?;
            continue;
        }
        let mut arrived =
            Arrived { head: &head, id, endpoint: name, reader: &mut reader, writer: &mut writer };
        if !handler(&mut arrived)? {
            return Ok(());
        }
    }
    Ok(())
}

/// Writes an endpoint's own answer.
pub fn write_signed(arrived: &mut Arrived<'_>, status: u16, body: &[u8]) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status} X\r\nX-Pistachiotrack-Request-Id: {}\r\n\
         X-Pistachiotrack-Server-Signature: {}.{}\r\nX-Pistachiotrack-Server-Load: 1,0,6\r\n\
         Content-Length: {}\r\n\r\n",
        arrived.id,
        arrived.endpoint,
        arrived.id,
        body.len()
    );
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    arrived.writer.write_all(&bytes)
}

// ---- the fleet ----

/// A process of the fleet.
pub struct Vm {
    pub name: String,
    pub caller: SocketAddr,
    pub ready: SocketAddr,
    pub child: Child,
    settings: PathBuf,
}

/// Ports and addresses of a fleet on loopback addresses that are free.
pub struct Plan {
    pub net: u8,
    pub port: u16,
    pub directory: PathBuf,
    /// Whether the installation's bounds have `strict_revoke`, with `revoke_s` 5.
    pub has_strict_revoke: bool,
}

impl Plan {
    /// Finds addresses whose ports are free, and makes a temporary folder.
    pub fn new() -> Plan {
        let pid = std::process::id();
        for attempt in 0..50u32 {
            let net = 20 + ((pid / 7 + attempt * 13) % 200) as u8;
            let port = 20_000 + ((pid + attempt * 131) % 900) as u16 * 10;
            let is_free = (1..=8).all(|host| {
                (0..6).all(|i| TcpListener::bind((format!("127.{net}.0.{host}"), port + i)).is_ok())
            });
            if is_free {
                let directory = directory();
                fs::create_dir_all(&directory).unwrap_or_else(|e| cannot_run(&e.to_string()));
                return Plan { net, port, directory, has_strict_revoke: false };
            }
        }
        cannot_run("no free ports")
    }

    /// Returns an address of the platform or an endpoint.
    pub fn other(&self, host: u8) -> SocketAddr {
        format!("127.{}.1.{host}:{}", self.net, self.port).parse().unwrap()
    }

    /// Starts VM `index`, from 1 on, with the settings' template of the deploy file.
    pub fn start_vm(&self, store: SocketAddr, index: u8, zone: &str, grace_s: f64) -> Vm {
        let ip = format!("127.{}.0.{index}", self.net);
        let port = self.port;
        let template = fs::read_to_string("deploy/settings.json")
            .unwrap_or_else(|error| cannot_run(&format!("deploy/settings.json: {error}")));
        let seeds: Vec<String> =
            (1..=2).map(|host| format!("\"127.{}.0.{host}:{}\"", self.net, port + 3)).collect();
        let zones = ["zone-a", "zone-b"].map(|z| format!("{{\"name\": \"{z}\", \"region\": \"region\" }}"));
        let strict_revoke = match self.has_strict_revoke {
            true => "\"config_lease\": {\"max_age_s\": 5},",
            false => "",
        };
        let settings = fill(
            &template,
            &[
                ("node_name", &format!("front-{index}")),
                ("zone", zone),
                ("listen.front", &format!("{ip}:{port}")),
                ("listen.ready", &format!("{ip}:{}", port + 1)),
                ("listen.directory", &format!("{ip}:{}", port + 2)),
                ("ip", &ip),
                ("internal_ports.0", &(port + 4).to_string()),
                ("provider.address", &store.to_string()),
                ("provider.value_bytes", "1048576"),
                ("limits.cpu_share", "0.2"),
                ("limits.cores", "1"),
                ("limits.link_mbps", "1000.0"),
                ("bounds.retry_budget_ratio", "0.2"),
                ("bounds.retry_budget_slack", "62"),
                ("bounds.budget_window_s", "10"),
                ("bounds.revoke_s", "5"),
            ],
            &[
                ("seeds", &seeds.join(",")),
                ("bootstrap", "\"first_start\": true,"),
                ("bounds.grace_s", &format!("\"stop_grace_s\": {grace_s},")),
                ("bounds.strict_revoke", strict_revoke),
                ("bounds.quota_slack", ""),
                ("zones", &zones.join(",")),
                ("heartbeat_s", "\"heartbeat_s\": 1.5,"),
                ("provider.value_bytes", "\"value_bytes\": 1048576,"),
            ],
        )
        .replace(":9900", &format!(":{}", port + 5));
        let file = self.directory.join(format!("front-{index}.json"));
        fs::write(&file, settings).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let mut vm = Vm {
            name: format!("front-{index}"),
            caller: format!("{ip}:{port}").parse().unwrap(),
            ready: format!("{ip}:{}", port + 1).parse().unwrap(),
            child: spawn(&file),
            settings: file,
        };
        vm.wait_ready();
        vm
    }
}

fn spawn(settings: &PathBuf) -> Child {
    let log = fs::File::create(settings.with_extension("log")).unwrap();
    let mut command = Command::new(PROGRAM);
    // A process of the fleet ends with this script, also if that is killed.
    let die_with_script = || {
        unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL as u64, 0, 0, 0) };
        Ok(())
    };
    unsafe { command.pre_exec(die_with_script) };
    let child = command
        .env_clear()
        .env("PISTACHIOTRACK_SETTINGS", settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone().unwrap())
        .stderr(log)
        .spawn()
        .unwrap_or_else(|error| cannot_run(&format!("{PROGRAM}: {error}")));
    PROCESSES.lock().unwrap().push(child.id() as i32);
    child
}

/// Fills the placeholders of a settings' template; each section is given rendered.
fn fill(template: &str, values: &[(&str, &str)], sections: &[(&str, &str)]) -> String {
    let mut text = template.to_owned();
    for (name, rendered) in sections {
        let (begin, end) = (format!("{{{{#{name}}}}}"), format!("{{{{/{name}}}}}"));
        while let (Some(from), Some(to)) = (text.find(&begin), text.find(&end)) {
            text.replace_range(from..to + end.len(), rendered);
        }
    }
    for (name, value) in values {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    if text.contains("{{") {
        cannot_run("the settings' template has a placeholder that this script doesn't know");
    }
    text
}

impl Vm {
    pub fn signal(&self, signal: i32) {
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Starts the process again after it has ended.
    pub fn restart(&mut self) {
        let _ = self.child.wait();
        self.child = spawn(&self.settings);
        self.wait_ready();
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }

    /// Waits until it is ready, by the platform's check.
    pub fn wait_ready(&mut self) {
        let until = Instant::now() + Duration::from_secs(10);
        let check = format!("GET /readyz HTTP/1.1\r\nHost: {}\r\n\r\n", self.ready);
        while Instant::now() < until {
            if self.has_ended() {
                cannot_run(&format!("{} ended at its start", self.name));
            }
            let answer = call(self.ready, check.as_bytes(), Duration::from_secs(1));
            if answer.is_ok_and(|answer| answer.head.status() == 200) {
                return;
            }
            thread::sleep(Duration::from_millis(50));
        }
        cannot_run(&format!("{} did not become ready", self.name));
    }
}
