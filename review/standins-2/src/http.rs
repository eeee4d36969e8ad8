//! Reading and writing of HTTP/1.1 messages with a length or in chunks.

use std::io::{self, Read, Write};
use std::net::TcpStream;

/// A message: its start line, its headers in order, and its whole body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the first value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the status of a response.
    pub fn status(&self) -> Option<u16> {
        self.start.split(' ').nth(1)?.parse().ok()
    }
}

/// A connection with the bytes that were read beyond the last message.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        // A small message would otherwise wait for the acknowledgement of the one before it.
        let _ = stream.set_nodelay(true);
        Connection {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Reads the next message; `Ok(None)` if the peer has closed before its first byte.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let head_length = loop {
            if let Some(at) = find(&self.buffer, b"\r\n\r\n") {
                break at + 4;
            }
            if self.read_more()? == 0 {
                return match self.buffer.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        };
        let head: Vec<u8> = self.buffer.drain(..head_length).collect();
        let head = String::from_utf8_lossy(&head).into_owned();
        let mut lines = head.split("\r\n");
        let mut message = Message {
            start: lines.next().unwrap_or_default().to_owned(),
            ..Message::default()
        };
        for line in lines {
            if let Some((name, value)) = line.split_once(':') {
                let header = (name.trim().to_owned(), value.trim().to_owned());
                message.headers.push(header);
            }
        }
        if message.header("transfer-encoding").is_some() {
            message.body = self.read_chunks()?;
        } else if let Some(length) = message.header("content-length") {
            let length = length.parse().map_err(|_| io::ErrorKind::InvalidData)?;
            message.body = self.take(length)?;
        }
        Ok(Some(message))
    }

    /// Writes the bytes of a message.
    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    fn read_chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line = self.take_line()?;
            let size = line.split(';').next().unwrap_or_default().trim();
            let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
            body.extend(self.take(size)?);
            self.take_line()?;
            if size == 0 {
                return Ok(body);
            }
        }
    }

    fn take_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = find(&self.buffer, b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..at + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..at]).into_owned());
            }
            if self.read_more()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn take(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if self.read_more()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    fn read_more(&mut self) -> io::Result<usize> {
        let mut bytes = [0; 16 * 1024];
        let count = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(count)
    }
}

/// Returns the bytes of a response with a length.
pub fn response(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    let mut windows = bytes.windows(pattern.len());
    windows.position(|window| window == pattern)
}
