//! Runs the tool against fake VMs and temporary files.

#![allow(dead_code, unreachable_pub, reason = "each test file uses a part of it")]

use std::{
    collections::HashMap,
    fs,
    io::{BufRead as _, BufReader, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{self, Command, Output, Stdio},
    sync::mpsc::{self, Receiver, Sender},
    thread,
};

use serde_json::Value;

/// A loopback address that refuses connections: port 1 is reserved, so no test binds it by
/// chance.
pub const CLOSED_ADDRESS: &str = "127.0.0.1:1";

/// A configuration that the daemon accepts.
pub const CONFIG: &str = include_str!("config.json");

/// Output and exit code of the tool.
#[derive(Debug)]
pub struct ToolOutput {
    pub code: Option<i32>,
    pub stdout: String,
    pub stderr: String,
}

impl ToolOutput {
    /// Returns the standard output as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.stdout).expect("JSON on the standard output")
    }

    /// Returns the standard output with each run of spaces replaced by one space.
    pub fn normalized_stdout(&self) -> String {
        let lines = self.stdout.lines().map(|l| l.split_whitespace().collect::<Vec<_>>().join(" "));
        lines.collect::<Vec<_>>().join("\n")
    }
}

/// Runs the tool.
pub fn run(args: &[&str]) -> ToolOutput {
    let output = Command::new(env!("CARGO_BIN_EXE_pistachiotrack"))
        .args(args)
        .output()
        .expect("the tool starts");
    ToolOutput::from(output)
}

/// Runs the tool with this standard input.
pub fn run_with_input(args: &[&str], input: &[u8]) -> ToolOutput {
    let mut tool = Command::new(env!("CARGO_BIN_EXE_pistachiotrack"))
        .args(args)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the tool starts");
    // The tool prints only after it has read all input, so neither side waits for the other.
    tool.stdin.take().expect("a pipe").write_all(input).expect("the tool reads its input");
    ToolOutput::from(tool.wait_with_output().expect("the tool ends"))
}

impl From<Output> for ToolOutput {
    fn from(output: Output) -> ToolOutput {
        ToolOutput {
            code: output.status.code(),
            stdout: String::from_utf8(output.stdout).expect("UTF-8"),
            stderr: String::from_utf8(output.stderr).expect("UTF-8"),
        }
    }
}

/// A file that is removed when this value is dropped.
#[derive(Debug)]
pub struct TempFile(PathBuf);

impl TempFile {
    /// Writes a file; `name` must be unique among the tests.
    pub fn new(name: &str, content: &str) -> TempFile {
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        let path = directory.join(format!("{}-{name}", process::id()));
        fs::write(&path, content).expect("a file in the target directory");
        TempFile(path)
    }

    /// Returns the path as an argument.
    pub fn arg(&self) -> &str {
        self.0.to_str().expect("UTF-8")
    }
}

impl Drop for TempFile {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.0);
    }
}

/// Behaviour of a fake VM on each connection.
#[derive(Clone, Debug)]
enum Behaviour {
    /// Answers with the page of the path, or 404.
    Pages(HashMap<String, String>),
    /// Accepts and never answers.
    Silent,
    /// Sends this text and closes the connection.
    Raw(String),
}

/// A fake VM on its own port.
#[derive(Debug)]
pub struct FakeVm {
    pub address: SocketAddr,
    requests: Receiver<String>,
}

impl FakeVm {
    /// Starts a VM that answers `GET` of each path with a JSON body.
    pub fn with_pages(pages: &[(&str, Value)]) -> FakeVm {
        let pages = pages.iter().map(|(path, body)| ((*path).to_owned(), body.to_string()));
        FakeVm::start(Behaviour::Pages(pages.collect()))
    }

    /// Starts a VM that accepts connections and never answers.
    pub fn silent() -> FakeVm {
        FakeVm::start(Behaviour::Silent)
    }

    /// Starts a VM that sends this text in response to any request.
    pub fn raw(response: &str) -> FakeVm {
        FakeVm::start(Behaviour::Raw(response.to_owned()))
    }

    /// Returns the head of the next request, in lower case.
    pub fn request(&self) -> String {
        self.requests.recv().expect("a request").to_lowercase()
    }

    /// Returns the address as an argument.
    pub fn arg(&self) -> String {
        self.address.to_string()
    }

    fn start(behaviour: Behaviour) -> FakeVm {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let (sender, requests) = mpsc::channel();
        thread::spawn(move || serve(&listener, &behaviour, &sender));
        FakeVm { address, requests }
    }
}

fn serve(listener: &TcpListener, behaviour: &Behaviour, requests: &Sender<String>) {
    // Keeps the connections open.
    let mut open_streams = Vec::new();
    while let Ok((mut stream, _)) = listener.accept() {
        let head = read_head(&stream);
        let path = head.split(' ').nth(1).unwrap_or_default().to_owned();
        if requests.send(head).is_err() {
            return;
        }
        let response = match behaviour {
            Behaviour::Silent => {
                open_streams.push(stream);
                continue;
            }
            Behaviour::Raw(response) => response.clone(),
            Behaviour::Pages(pages) => page_response(pages.get(&path)),
        };
        let _ = stream.write_all(response.as_bytes());
    }
}

fn read_head(stream: &TcpStream) -> String {
    let mut head = String::new();
    for line in BufReader::new(stream).lines() {
        let line = line.unwrap_or_default();
        if line.is_empty() {
            break;
        }
        head.push_str(&line);
        head.push('\n');
    }
    head
}

fn page_response(page: Option<&String>) -> String {
    let (status, body) = page.map_or(("404 Not Found", ""), |body| ("200 OK", body));
    format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n{body}", body.len())
}
