//! A minimal HTTP/1.1 client, and the parts of a server that both share.

use std::{
    io::{self, BufRead, BufReader, Write as _},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// A message: the first line, headers with lower-case names, and the body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(other, _)| other == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let number = self.first.split(' ').nth(1);
        number.and_then(|number| number.parse().ok()).unwrap_or(0)
    }
}

/// Reads the first line and the headers; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut message = Message {
        first: line.trim_end().to_owned(),
        ..Message::default()
    };
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = line.split_once(':') {
            let name = name.to_ascii_lowercase();
            message.headers.push((name, value.trim().to_owned()));
        }
    }
}

/// Reads a whole message with a body of stated length.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    let length = message
        .header("content-length")
        .and_then(|text| text.parse::<usize>().ok());
    if let Some(length) = length {
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        message.body = body;
    } else if message.header("transfer-encoding").is_some() {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let size =
                usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
            let mut piece = vec![0; size + 2];
            reader.read_exact(&mut piece)?;
            if size == 0 {
                break;
            }
            message.body.extend_from_slice(&piece[..size]);
        }
    }
    Ok(Some(message))
}

/// Sends a request on a new connection and reads the response.
pub fn call(
    address: SocketAddr,
    request_line: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Message> {
    let end = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&address, limit.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    let left = end
        .saturating_duration_since(Instant::now())
        .max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left))?;
    stream.set_write_timeout(Some(left))?;
    stream.write_all(&encode(request_line, headers, body))?;
    read_message(&mut BufReader::new(stream))?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// Encodes a request or a response with a body of stated length.
pub fn encode(first: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{first}\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
