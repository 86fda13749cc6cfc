//! The project's own program on one machine, started as `deploy/system.toml` says.

use std::{
    fs::{self, File},
    io,
    net::{SocketAddr, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

use crate::store::Store;

unsafe extern "C" {
    safe fn kill(process: i32, signal: i32) -> i32;
}

pub const SIGHUP: i32 = 1;
const SIGKILL: i32 = 9;

/// Processes that were started and not ended yet.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all started processes; for a run that takes too long.
pub fn kill_all() {
    for process in STARTED.lock().unwrap().drain(..) {
        kill(process as i32, SIGKILL);
    }
}

/// A temporary folder that is removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> io::Result<Folder> {
        let path = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&path)?;
        Ok(Folder(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// A running process; it is killed at the end.
pub struct Machine {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    process: Child,
}

impl Drop for Machine {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        STARTED.lock().unwrap().retain(|process| *process != self.process.id());
    }
}

/// Returns a loopback address of this run, whose ports no other run uses.
pub fn loopback(index: u8) -> String {
    let id = std::process::id();
    format!("127.{}.{}.{}", 64 + (id >> 8) % 128, id % 256, index)
}

impl Machine {
    /// Starts the machines of one zone and waits until all are ready.
    pub fn start_all(count: u8, store: &Store, folder: &Path) -> io::Result<Vec<Machine>> {
        let mut machines = Vec::new();
        for index in 1..=count {
            machines.push(Machine::start(index, count, store, folder)?);
        }
        let until = Instant::now() + Duration::from_secs(15);
        for machine in &machines {
            while !machine.is_ready() {
                if Instant::now() > until {
                    return Err(io::Error::other(format!("{} isn't ready", machine.name)));
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        Ok(machines)
    }

    fn start(index: u8, count: u8, store: &Store, folder: &Path) -> io::Result<Machine> {
        let ip = loopback(index);
        let at = |port: u16| format!("{ip}:{port}");
        let seeds = (1..=count.min(3)).map(|seed| format!("\"{}:8382\"", loopback(seed)));
        let seeds: Vec<String> = seeds.collect();
        let name = format!("front-oslo-a-{index}");
        let settings = fs::read_to_string("deploy/settings.json")?;
        let settings = rendered(&settings, &|field| {
            let value = match field {
                "node_name" => name.clone(),
                "zone" => "oslo-a".to_owned(),
                "ip" => ip.clone(),
                "listen.front" => at(8381),
                "listen.ready" => at(8388),
                "listen.directory" => at(8383),
                "provider.address" => store.address.to_string(),
                "internal_ports.0" => "7200".to_owned(),
                "seeds" => seeds.join(","),
                "zones" => "{\"name\": \"oslo-a\", \"region\": \"oslo\"}".to_owned(),
                "limits.cpu_share" => "0.2".to_owned(),
                "limits.cores" => "1".to_owned(),
                "limits.link_mbps" => "1000.0".to_owned(),
                "bounds.retry_budget_ratio" => "0.2".to_owned(),
                "bounds.retry_budget_slack" => "62".to_owned(),
                "bounds.budget_window_s" => "10".to_owned(),
                "provider.value_bytes" => "1048576".to_owned(),
                "bootstrap" => "true".to_owned(),
                _ => return None,
            };
            Some(value)
        });
        let file = folder.join(format!("{name}.json"));
        fs::write(&file, settings?)?;
        let run = deploy_field("run")?;
        let mut words = run.split(' ');
        let program = words.next().unwrap_or_default();
        let output = File::create(folder.join(format!("{name}.out")))?;
        let process = Command::new(program)
            .args(words)
            .env("PISTACHIOTRACK_SETTINGS", &file)
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output)
            .spawn()
            .map_err(|error| io::Error::other(format!("{program}: {error}")))?;
        STARTED.lock().unwrap().push(process.id());
        let address = |port| at(port).parse().map_err(io::Error::other);
        Ok(Machine { name, front: address(8381)?, ready: address(8388)?, process })
    }

    /// Returns whether `GET /readyz` is answered with 200.
    pub fn is_ready(&self) -> bool {
        let Ok(stream) = TcpStream::connect_timeout(&self.ready, Duration::from_millis(500)) else {
            return false;
        };
        let request = "GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n";
        let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
        let Ok(mut writer) = stream.try_clone() else { return false };
        if crate::http::write(&mut writer, request.as_bytes()).is_err() {
            return false;
        }
        let answer = crate::http::read(&mut io::BufReader::new(stream));
        matches!(answer, Ok(Some(answer)) if answer.status() == 200)
    }

    pub fn signal(&self, signal: i32) {
        kill(self.process.id() as i32, signal);
    }
}

/// Returns a field of the role in the deploy file.
fn deploy_field(name: &str) -> io::Result<String> {
    let file = fs::read_to_string("deploy/system.toml")?;
    let prefix = format!("{name} = \"");
    let value = file.lines().find_map(|line| line.strip_prefix(&prefix)?.strip_suffix('"'));
    value.map(str::to_owned).ok_or_else(|| io::Error::other(format!("no {name} in deploy file")))
}

/// Fills in the template of the settings. A section with an inner `{{.}}` or `{{@}}` of a list is
/// replaced by the text that `value` gives for the list; one of an absent value is left out.
fn rendered(template: &str, value: &dyn Fn(&str) -> Option<String>) -> io::Result<String> {
    let mut text = String::new();
    let mut rest = template;
    while let Some((before, after)) = rest.split_once("{{") {
        text += before;
        let unclosed = || io::Error::other("settings template: unclosed placeholder");
        let (name, after) = after.split_once("}}").ok_or_else(unclosed)?;
        let Some(section) = name.strip_prefix('#') else {
            text += &value(name).ok_or_else(|| io::Error::other(format!("no value of {name}")))?;
            rest = after;
            continue;
        };
        let end = format!("{{{{/{section}}}}}");
        let (inner, after) = after.split_once(&end).ok_or_else(unclosed)?;
        match value(section) {
            Some(list) if inner.contains("{{,}}") => text += &list,
            Some(single) => text += &inner.replace("{{.}}", &single),
            None => {}
        }
        rest = after;
    }
    Ok(text + rest)
}
