//! Reading of HTTP/1.1 messages from a socket.

use std::io::{Read, Result};
use std::net::TcpStream;

/// A message as read from a connection.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| &**value)
    }

    /// Returns the method and the target of a request.
    pub fn target(&self) -> (&str, &str) {
        let mut words = self.line.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }

    /// Returns the status of an answer, or 0.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }
}

/// Reads messages of one connection.
pub struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: &TcpStream) -> Result<Self> {
        Ok(Self { stream: stream.try_clone()?, buffer: Vec::new() })
    }

    fn fill(&mut self) -> Result<bool> {
        let mut block = [0; 16 * 1024];
        let length = self.stream.read(&mut block)?;
        self.buffer.extend_from_slice(&block[..length]);
        Ok(length > 0)
    }

    /// Reads a message; `None` if the connection ends before it is complete. Both sides of the
    /// system under test send bodies with a length or in chunks.
    pub fn read(&mut self) -> Result<Option<Message>> {
        let end = loop {
            if let Some(at) = self.buffer.windows(4).position(|window| window == b"\r\n\r\n") {
                break at + 4;
            }
            if !self.fill()? {
                return Ok(None);
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end);
        let mut lines = head.split("\r\n");
        let line = lines.next().unwrap_or("").to_string();
        let headers: Vec<(String, String)> = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(key, value)| (key.to_ascii_lowercase(), value.trim().to_string()))
            .collect();
        let mut message = Message { line, headers, body: Vec::new() };
        let chunked =
            message.header("transfer-encoding").is_some_and(|value| value.contains("chunked"));
        if chunked {
            loop {
                let Some(line) = self.take_line()? else { return Ok(None) };
                let size = usize::from_str_radix(line.trim(), 16).unwrap_or(0);
                let Some(data) = self.take(size + 2)? else { return Ok(None) };
                if size == 0 {
                    return Ok(Some(message));
                }
                message.body.extend_from_slice(&data[..size]);
            }
        }
        let length = message.header("content-length").and_then(|value| value.parse().ok());
        let Some(body) = self.take(length.unwrap_or(0))? else { return Ok(None) };
        message.body = body;
        Ok(Some(message))
    }

    fn take_line(&mut self) -> Result<Option<String>> {
        loop {
            if let Some(at) = self.buffer.windows(2).position(|window| window == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..at]).into_owned();
                self.buffer.drain(..at + 2);
                return Ok(Some(line));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    fn take(&mut self, length: usize) -> Result<Option<Vec<u8>>> {
        while self.buffer.len() < length {
            if !self.fill()? {
                return Ok(None);
            }
        }
        Ok(Some(self.buffer.drain(..length).collect()))
    }
}
