//! HTTP/1.1 with a thread for each connection.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

pub struct Request {
    pub path: String,
    pub query: BTreeMap<String, String>,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
}

pub fn answer(status: u16, body: impl Into<Vec<u8>>) -> Option<Answer> {
    Some(Answer {
        status,
        body: body.into(),
    })
}

/// A listener. `stop` ends it and breaks its connections, as the crash of a process does.
pub struct Server {
    pub address: SocketAddr,
    is_stopped: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Serves requests until `stop`. A handler that returns `None` breaks the connection.
    pub fn start(
        address: SocketAddr,
        handler: impl Fn(&Request) -> Option<Answer> + Send + Sync + 'static,
    ) -> io::Result<Server> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        let is_stopped = Arc::new(AtomicBool::new(false));
        let connections: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let handler = Arc::new(handler);
        let (stopped, open) = (Arc::clone(&is_stopped), Arc::clone(&connections));
        thread::spawn(move || {
            while !stopped.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                drop(stream.set_nonblocking(false));
                drop(stream.set_nodelay(true));
                if let Ok(copy) = stream.try_clone() {
                    open.lock().unwrap().push(copy);
                }
                let (handler, stopped) = (Arc::clone(&handler), Arc::clone(&stopped));
                thread::spawn(move || {
                    let Ok(copy) = stream.try_clone() else { return };
                    let mut reader = BufReader::new(copy);
                    let mut writer = stream;
                    while let Ok(request) = read_request(&mut reader) {
                        if stopped.load(Ordering::SeqCst) {
                            break;
                        }
                        let Some(answer) = handler(&request) else {
                            break;
                        };
                        if stopped.load(Ordering::SeqCst)
                            || write_answer(&mut writer, &answer).is_err()
                        {
                            break;
                        }
                    }
                    drop(writer.shutdown(Shutdown::Both));
                });
            }
        });
        Ok(Server {
            address,
            is_stopped,
            connections,
        })
    }

    pub fn stop(&self) {
        self.is_stopped.store(true, Ordering::SeqCst);
        for stream in self.connections.lock().unwrap().drain(..) {
            drop(stream.shutdown(Shutdown::Both));
        }
    }
}

fn read_head(reader: &mut impl BufRead) -> io::Result<(String, BTreeMap<String, String>)> {
    let ended = || io::Error::from(io::ErrorKind::UnexpectedEof);
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Err(ended());
    }
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(ended());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok((first.trim_end().to_owned(), headers));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

fn read_body(reader: &mut impl BufRead, headers: &BTreeMap<String, String>) -> io::Result<Vec<u8>> {
    if headers
        .get("transfer-encoding")
        .is_some_and(|value| value.contains("chunked"))
    {
        let mut body = Vec::new();
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let length = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
            let mut chunk = vec![0; length + 2];
            reader.read_exact(&mut chunk)?;
            if length == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&chunk[..length]);
        }
    }
    let length = headers
        .get("content-length")
        .and_then(|value| value.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(body)
}

fn read_request(reader: &mut impl BufRead) -> io::Result<Request> {
    let (first, headers) = read_head(reader)?;
    let body = read_body(reader, &headers)?;
    let mut words = first.split(' ');
    let target = words.nth(1).unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = pairs
        .map(|(name, value)| (name.to_owned(), unescape(value)))
        .collect();
    Ok(Request {
        path: path.to_owned(),
        query,
        headers,
        body,
    })
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut plain = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            if let Ok(byte) = u8::from_str_radix(&text[at + 1..at + 3], 16) {
                plain.push(byte);
                at += 3;
                continue;
            }
        }
        plain.push(bytes[at]);
        at += 1;
    }
    String::from_utf8_lossy(&plain).into_owned()
}

fn write_answer(writer: &mut impl Write, answer: &Answer) -> io::Result<()> {
    let mut message = format!(
        "HTTP/1.1 {} Answer\r\ncontent-length: {}\r\ncontent-type: application/json\r\n\r\n",
        answer.status,
        answer.body.len()
    )
    .into_bytes();
    message.extend_from_slice(&answer.body);
    writer.write_all(&message)
}

/// Sends one request on a connection of its own.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    let mut message = format!(
        "{method} {path} HTTP/1.1\r\ncontent-length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        message.push_str(&format!("{name}: {value}\r\n"));
    }
    message.push_str("connection: close\r\n\r\n");
    let mut message = message.into_bytes();
    message.extend_from_slice(body);
    stream.write_all(&message)?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?;
    let body = read_body(&mut reader, &headers)?;
    let status = first
        .split(' ')
        .nth(1)
        .and_then(|word| word.parse().ok())
        .unwrap_or(0);
    Ok(Answer { status, body })
}
