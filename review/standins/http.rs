//! As much of HTTP/1.1 as the stand-ins need.

use std::{
    io::{self, BufRead, Write},
    net::TcpStream,
};

/// A request or the head of a response, with its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// First line.
    pub start: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(candidate, _)| candidate == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the second word of the first line: a request's target or a response's status.
    pub fn second_word(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.second_word().parse().unwrap_or_default()
    }
}

/// Reads a message; `None` if the connection ended before one.
pub fn read(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    if reader.read_line(&mut message.start)? == 0 {
        return Ok(None);
    }
    message.start = message.start.trim_end().to_owned();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    let chunked = message.header("transfer-encoding").is_some_and(|value| value == "chunked");
    let length = message.header("content-length").and_then(|value| value.parse().ok());
    if chunked {
        read_chunks(reader, &mut message.body)?;
    } else {
        message.body = vec![0; length.unwrap_or(0)];
        reader.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let size = usize::from_str_radix(line.trim(), 16);
        let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk)?;
        if size == 0 {
            return Ok(());
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

/// Returns the bytes of a response.
pub fn response(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += "\r\n";
    [head.as_bytes(), body].concat()
}

/// Writes all bytes at once.
pub fn write(stream: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
    stream.write_all(bytes)?;
    stream.flush()
}
