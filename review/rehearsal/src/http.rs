//! Plain HTTP/1.1 on raw connections.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Maximum size of a message.
const MAX_BYTES: usize = 16 << 20;

/// A message: its head without the empty line, and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub head: String,
    pub body: Vec<u8>,
}

impl Message {
    /// Value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.head, name)
    }

    /// Method and target of a request.
    pub fn target(&self) -> (&str, &str) {
        let mut words = self.head.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }

    /// Status of a response; 0 if it has none.
    pub fn status(&self) -> u16 {
        let status = self.head.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let lines = head.split("\r\n").skip(1);
    let mut fields = lines.filter_map(|line| line.split_once(':'));
    let (_, value) = fields.find(|(n, _)| n.eq_ignore_ascii_case(name))?;
    Some(value.trim())
}

/// A connection with the bytes that were read beyond the last message.
#[derive(Debug)]
pub struct Connection {
    pub stream: TcpStream,
    bytes: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            bytes: Vec::new(),
        }
    }

    /// Reads more bytes; false at the end of the stream.
    async fn fill(&mut self) -> io::Result<bool> {
        let mut chunk = vec![0; 64 << 10];
        let count = self.stream.read(&mut chunk).await?;
        self.bytes.extend_from_slice(&chunk[..count]);
        if self.bytes.len() > MAX_BYTES {
            return Err(io::ErrorKind::InvalidData.into());
        }
        Ok(count > 0)
    }

    /// Reads a head; `None` if the stream ends before it.
    pub async fn read_head(&mut self) -> io::Result<Option<String>> {
        loop {
            let end = self.bytes.windows(4).position(|w| w == b"\r\n\r\n");
            if let Some(end) = end {
                let rest = self.bytes.split_off(end + 4);
                let head = std::mem::replace(&mut self.bytes, rest);
                return Ok(Some(String::from_utf8_lossy(&head[..end]).into_owned()));
            }
            if !self.fill().await? {
                return Ok(None);
            }
        }
    }

    /// Reads the body that belongs to a head; `None` if the stream ends before it does.
    pub async fn read_body(&mut self, head: &str) -> io::Result<Option<Vec<u8>>> {
        if header(head, "transfer-encoding").is_some() {
            return self.read_chunks().await;
        }
        let length = header(head, "content-length").and_then(|l| l.parse().ok());
        let length: usize = length.unwrap_or(0);
        while self.bytes.len() < length {
            if !self.fill().await? {
                return Ok(None);
            }
        }
        let rest = self.bytes.split_off(length);
        Ok(Some(std::mem::replace(&mut self.bytes, rest)))
    }

    async fn read_chunks(&mut self) -> io::Result<Option<Vec<u8>>> {
        let mut body = Vec::new();
        loop {
            let line_end = loop {
                if let Some(end) = self.bytes.windows(2).position(|w| w == b"\r\n") {
                    break end;
                }
                if !self.fill().await? {
                    return Ok(None);
                }
            };
            let line = String::from_utf8_lossy(&self.bytes[..line_end]).into_owned();
            let size = line.split(';').next().unwrap_or("").trim();
            let size = usize::from_str_radix(size, 16).map_err(io::Error::other)?;
            while self.bytes.len() < line_end + 2 + size + 2 {
                if !self.fill().await? {
                    return Ok(None);
                }
            }
            let start = line_end + 2;
            body.extend_from_slice(&self.bytes[start..start + size]);
            self.bytes.drain(..start + size + 2);
            if size == 0 {
                return Ok(Some(body));
            }
        }
    }

    /// Reads a message; `None` if the stream ends before it does.
    pub async fn read_message(&mut self) -> io::Result<Option<Message>> {
        let Some(head) = self.read_head().await? else {
            return Ok(None);
        };
        let body = self.read_body(&head).await?;
        Ok(body.map(|body| Message { head, body }))
    }

    /// Waits until the peer closes the connection, however much it still sends.
    pub async fn closed(&mut self) {
        loop {
            if !matches!(self.fill().await, Ok(true)) {
                return;
            }
        }
    }
}

/// What a consumer's attempt came to.
#[derive(Clone, Debug)]
pub enum Answer {
    /// A whole response.
    Whole(Message),
    /// No connection, or one that ended without a whole response.
    Broken(String),
}

impl Answer {
    /// Status; 0 without a whole response.
    pub fn status(&self) -> u16 {
        match self {
            Self::Whole(message) => message.status(),
            Self::Broken(_) => 0,
        }
    }

    /// The answer in a few words.
    pub fn text(&self) -> String {
        match self {
            Self::Whole(message) => {
                let outcome = message.header("monsooncart-outcome").unwrap_or("-");
                format!("{} outcome={outcome}", message.status())
            }
            Self::Broken(why) => format!("no answer ({why})"),
        }
    }
}

/// Sends a request on a connection of its own and reads the response.
pub async fn send(address: SocketAddr, request: &[u8], patience: Duration) -> Answer {
    let exchange = async {
        let mut stream = TcpStream::connect(address).await?;
        stream.write_all(request).await?;
        Connection::new(stream).read_message().await
    };
    match timeout(patience, exchange).await {
        Ok(Ok(Some(message))) => Answer::Whole(message),
        Ok(Ok(None)) => Answer::Broken("closed".to_owned()),
        Ok(Err(error)) => Answer::Broken(error.to_string()),
        Err(_) => Answer::Broken("time budget over".to_owned()),
    }
}
