//! A small HTTP/1.1 server with one thread per connection, and a client.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A request that was read in full.
pub struct Request {
    pub method: String,
    /// The path without the query.
    pub path: String,
    query: String,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

/// The answer to a request.
pub struct Response {
    pub status: u16,
    pub content_type: &'static str,
    pub body: Vec<u8>,
}

impl Request {
    /// Returns a parameter of the query.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        let mut pairs = self
            .query
            .split('&')
            .filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    /// Returns a parameter of the query that is a whole number.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.parameter(name)?.parse().ok()
    }

    /// Returns a header; `name` is in lowercase.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(key, _)| key == name);
        found.next().map(|(_, value)| value.as_str())
    }
}

impl Response {
    pub fn json(status: u16, body: String) -> Self {
        Self {
            status,
            content_type: "application/json",
            body: body.into_bytes(),
        }
    }

    pub fn bytes(body: Vec<u8>) -> Self {
        Self {
            status: 200,
            content_type: "application/octet-stream",
            body,
        }
    }
}

/// Handles requests; `None` leaves a request without an answer and closes its
/// connection.
pub type Handler = Arc<dyn Fn(Request) -> Option<Response> + Send + Sync>;

/// A server that can be stopped as by a crash.
pub struct Server {
    stopped: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    accepting: Option<thread::JoinHandle<()>>,
}

impl Server {
    /// Serves `address` until [`Server::crash`].
    pub fn start(address: SocketAddr, handler: Handler) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let stopped = Arc::new(AtomicBool::new(false));
        let connections = Arc::new(Mutex::new(Vec::new()));
        let (is_stopped, open) = (Arc::clone(&stopped), Arc::clone(&connections));
        let accepting = thread::spawn(move || {
            while !is_stopped.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        drop(stream.set_nonblocking(false));
                        drop(stream.set_nodelay(true));
                        if let Ok(copy) = stream.try_clone() {
                            open.lock().unwrap().push(copy);
                        }
                        let handler = Arc::clone(&handler);
                        let is_stopped = Arc::clone(&is_stopped);
                        thread::spawn(move || serve(stream, &handler, &is_stopped));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        Ok(Self {
            stopped,
            connections,
            accepting: Some(accepting),
        })
    }

    /// Closes the listener and all connections at once.
    pub fn crash(&mut self) {
        self.stopped.store(true, Ordering::SeqCst);
        for connection in self.connections.lock().unwrap().drain(..) {
            drop(connection.shutdown(Shutdown::Both));
        }
        if let Some(accepting) = self.accepting.take() {
            drop(accepting.join());
        }
    }
}

fn serve(mut stream: TcpStream, handler: &Handler, is_stopped: &AtomicBool) {
    let mut buffer = Vec::new();
    while let Some(request) = read_request(&mut stream, &mut buffer) {
        if is_stopped.load(Ordering::SeqCst) {
            return;
        }
        let Some(response) = handler(request) else {
            drop(stream.shutdown(Shutdown::Both));
            return;
        };
        let head = format!(
            "HTTP/1.1 {} Status\r\nContent-Type: {}\r\nContent-Length: {}\r\n\r\n",
            response.status,
            response.content_type,
            response.body.len()
        );
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&response.body);
        if stream.write_all(&bytes).is_err() {
            return;
        }
    }
}

/// Reads until the end of the head; returns the length of the head.
fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<usize> {
    loop {
        if let Some(end) = buffer.windows(4).position(|part| part == b"\r\n\r\n") {
            return Some(end + 4);
        }
        read_more(stream, buffer)?;
    }
}

fn read_more(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<()> {
    let mut part = [0; 16 * 1024];
    loop {
        match stream.read(&mut part) {
            Ok(0) => return None,
            Ok(count) => {
                buffer.extend_from_slice(&part[..count]);
                return Some(());
            }
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(_) => return None,
        }
    }
}

fn read_headers(head: &str) -> Vec<(String, String)> {
    let lines = head.lines().skip(1).filter_map(|line| line.split_once(':'));
    lines
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect()
}

fn body_length(headers: &[(String, String)]) -> usize {
    let length = headers.iter().find(|(name, _)| name == "content-length");
    length
        .and_then(|(_, value)| value.parse().ok())
        .unwrap_or(0)
}

fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Request> {
    let head_end = read_head(stream, buffer)?;
    let head = String::from_utf8_lossy(&buffer[..head_end]).into_owned();
    let headers = read_headers(&head);
    let end = head_end + body_length(&headers);
    while buffer.len() < end {
        read_more(stream, buffer)?;
    }
    let body = buffer[head_end..end].to_vec();
    buffer.drain(..end);
    let mut words = head.split_whitespace();
    let method = words.next()?.to_owned();
    let target = words.next()?;
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    Some(Request {
        method,
        path: path.to_owned(),
        query: query.to_owned(),
        headers,
        body,
    })
}

/// Sends one request on a new connection. Returns the status and the body, or
/// `None` if there is no complete answer within `timeout`.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &str,
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let deadline = Instant::now() + timeout;
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    let text = format!(
        "{method} {path} HTTP/1.1\r\n{headers}Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).ok()?;
    let mut buffer = Vec::new();
    let read = |stream: &mut TcpStream, buffer: &mut Vec<u8>| {
        let left = deadline.checked_duration_since(Instant::now())?;
        stream
            .set_read_timeout(Some(left.max(Duration::from_millis(1))))
            .ok()?;
        read_more(stream, buffer)
    };
    let head_end = loop {
        if let Some(end) = buffer.windows(4).position(|part| part == b"\r\n\r\n") {
            break end + 4;
        }
        read(&mut stream, &mut buffer)?;
    };
    let head = String::from_utf8_lossy(&buffer[..head_end]).into_owned();
    let status = head.split_whitespace().nth(1)?.parse().ok()?;
    let end = head_end + body_length(&read_headers(&head));
    while buffer.len() < end {
        read(&mut stream, &mut buffer)?;
    }
    Some((
        status,
        String::from_utf8_lossy(&buffer[head_end..end]).into_owned(),
    ))
}
