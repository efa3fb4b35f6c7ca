//! Minimal HTTP/1.1 messages over blocking sockets.

use std::io::{BufRead, BufReader, Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

pub type Headers = Vec<(String, String)>;

pub struct Message {
    /// Request line or status line.
    pub line: String,
    pub headers: Headers,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(other, _)| other.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn word(&self, index: usize) -> &str {
        self.line.split(' ').nth(index).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    let length = reader.read_line(&mut line).ok()?;
    if length == 0 || !line.ends_with('\n') {
        return None;
    }
    Some(line.trim_end().into())
}

/// Reads a message; `None` if the connection ends or the message is malformed.
pub fn read(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let line = read_line(reader)?;
    let mut headers = Headers::new();
    loop {
        let text = read_line(reader)?;
        if text.is_empty() {
            break;
        }
        let (name, value) = text.split_once(':')?;
        headers.push((name.trim().into(), value.trim().into()));
    }
    let mut message = Message { line, headers, body: Vec::new() };
    if message.header("transfer-encoding").is_some() {
        loop {
            let size = usize::from_str_radix(&read_line(reader)?, 16).ok()?;
            let start = message.body.len();
            message.body.resize(start + size, 0);
            reader.read_exact(&mut message.body[start..]).ok()?;
            read_line(reader)?;
            if size == 0 {
                break;
            }
        }
    } else if let Some(length) = message.header("content-length") {
        message.body = vec![0; length.parse().ok()?];
        reader.read_exact(&mut message.body).ok()?;
    }
    Some(message)
}

/// Writes a message with its length.
pub fn write(
    stream: &mut TcpStream,
    line: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Result<()> {
    let mut text = format!("{line}\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("content-length: {}\r\n\r\n", body.len());
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// A connection that carries one request at a time.
pub struct Connection {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn open(address: SocketAddr, timeout: Duration) -> Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(timeout))?;
        Ok(Self { reader: BufReader::new(stream.try_clone()?), stream })
    }

    /// Sends a request and reads the answer; `None` if there is none.
    pub fn call(&mut self, line: &str, headers: &[(&str, &str)], body: &[u8]) -> Option<Message> {
        write(&mut self.stream, line, headers, body).ok()?;
        read(&mut self.reader)
    }
}
