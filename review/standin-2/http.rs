//! HTTP/1.1 on blocking sockets: requests and responses with a length, and responses that end with
//! their connection.

use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request or a response.
pub struct Message {
    /// Request line or status line.
    pub line: String,
    /// Names in lower case, and values.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| &**value)
    }

    /// Returns the status of a response, or 0.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Returns path and query of a request.
    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads one message, or returns `None` at the end of the connection. Bytes after it stay in `buffer`.
pub fn read(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Result<Option<Message>> {
    let mut chunk = [0; 16 * 1024];
    let end = loop {
        if let Some(at) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            break at + 4;
        }
        match stream.read(&mut chunk)? {
            0 if buffer.is_empty() => return Ok(None),
            0 => return Err(Error::from(ErrorKind::UnexpectedEof)),
            read => buffer.extend_from_slice(&chunk[..read]),
        }
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    let mut lines = head.split("\r\n");
    let line = lines.next().unwrap_or("").to_string();
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(key, value)| (key.to_ascii_lowercase(), value.trim().to_string()))
        .collect();
    let length = headers.iter().find(|(key, _)| key == "content-length");
    let length: Option<usize> = length.and_then(|(_, value)| value.parse().ok());
    let until_close = length.is_none() && line.starts_with("HTTP/");
    let length = length.unwrap_or(0);
    while until_close || buffer.len() < end + length {
        match stream.read(&mut chunk)? {
            0 if until_close => break,
            0 => return Err(Error::from(ErrorKind::UnexpectedEof)),
            read => buffer.extend_from_slice(&chunk[..read]),
        }
    }
    let last = if until_close { buffer.len() } else { end + length };
    let body = buffer[end..last].to_vec();
    buffer.drain(..last);
    Ok(Some(Message { line, headers, body }))
}

/// Returns a message with the given start line and further headers, each ended by CRLF.
pub fn message(line: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let head = format!("{line}\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}

/// A client that keeps its connection, as callers do.
pub struct Client {
    address: SocketAddr,
    stream: Option<TcpStream>,
}

impl Client {
    pub fn new(address: SocketAddr) -> Self {
        Self { address, stream: None }
    }

    /// Sends a request and returns the answer. The connection is closed after an error, and when the
    /// answer says so.
    pub fn call(&mut self, request: &[u8], timeout: Duration) -> Result<Message> {
        let result = self.exchange(request, Instant::now() + timeout);
        let keeps = result.as_ref().is_ok_and(|answer| {
            answer.header("content-length").is_some()
                && answer.header("connection") != Some("close")
        });
        if !keeps {
            self.stream = None;
        }
        result
    }

    fn exchange(&mut self, request: &[u8], until: Instant) -> Result<Message> {
        if self.stream.is_none() {
            let stream = TcpStream::connect_timeout(&self.address, Duration::from_secs(1))?;
            stream.set_nodelay(true)?;
            self.stream = Some(stream);
        }
        let stream = self.stream.as_mut().expect("the connection was just opened");
        let left = until.saturating_duration_since(Instant::now());
        stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
        stream.write_all(request)?;
        let answer = read(stream, &mut Vec::new())?;
        answer.ok_or_else(|| Error::from(ErrorKind::UnexpectedEof))
    }
}
