//! Minimal HTTP/1.1 for the stand-ins and clients of the cases.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

/// A request or a response; `start` is its first line.
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
        let found = headers.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        let mut words = self.start.split(' ');
        words.nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    /// Returns the request target.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("/")
    }
}

/// Reads one message; `None` if the peer has closed the connection before its first byte.
pub fn read(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    if reader.read_line(&mut message.start)? == 0 {
        return Ok(None);
    }
    message.start.truncate(message.start.trim_end().len());
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
            let pair = (name.trim().to_owned(), value.trim().to_owned());
            message.headers.push(pair);
        }
    }
    let length = message
        .header("content-length")
        .and_then(|v| v.parse().ok());
    message.body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// Encodes a response with a length.
pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut bytes = format!(
        "HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        bytes += &format!("{name}: {value}\r\n");
    }
    bytes += "\r\n";
    let mut bytes = bytes.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Encodes a request; a body has a length.
pub fn request(method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        bytes += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() || method != "GET" {
        bytes += &format!("Content-Length: {}\r\n", body.len());
    }
    bytes += "\r\n";
    let mut bytes = bytes.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Serves an address with a thread for each connection. The handler returns the bytes of the
/// response; `None` closes the connection.
pub fn serve(
    address: SocketAddr,
    handler: impl Fn(&Message) -> Option<Vec<u8>> + Send + Sync + 'static,
) -> io::Result<()> {
    let listener = TcpListener::bind(address)?;
    let handler = Arc::new(handler);
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            spawn(move || {
                // A connection ends with its first error.
                let _ = serve_connection(stream, &*handler);
            });
        }
    });
    Ok(())
}

fn serve_connection(
    stream: TcpStream,
    handler: &dyn Fn(&Message) -> Option<Vec<u8>>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream;
    while let Some(message) = read(&mut reader)? {
        match handler(&message) {
            Some(bytes) => writer.write_all(&bytes)?,
            None => break,
        }
    }
    Ok(())
}

/// Sends a request on a new connection and reads the response.
pub fn call(address: SocketAddr, request: &[u8], timeout: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.write_all(request)?;
    read(&mut BufReader::new(stream))?.ok_or(io::ErrorKind::UnexpectedEof.into())
}

/// Starts a thread with a small stack.
pub fn spawn<T: Send + 'static>(
    work: impl FnOnce() -> T + Send + 'static,
) -> thread::JoinHandle<T> {
    let thread = thread::Builder::new().stack_size(128 * 1024).spawn(work);
    thread.expect("cannot start a thread")
}
