//! A server whose responses are written byte by byte, for responses that no HTTP library would
//! write: cut within their head, written twice, or written while no request is waiting.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use fescuelock_http::net::{BoxIo, Network};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::sleep;

/// Size of the read buffer, in bytes.
const CHUNK_BYTES: usize = 8 << 10;
/// End of a request's head.
const HEAD_END: &str = "\r\n\r\n";

/// `ScriptedRequest` is a request that the server received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScriptedRequest {
    /// Number of the connection, counted from 0.
    pub connection: usize,
    /// Number of requests that the connection carried before this one.
    pub earlier_requests: usize,
    /// Request line and headers.
    pub head: String,
}

/// `Step` is one step of a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Writes bytes.
    Write(String),
    /// Pauses for a time in milliseconds.
    Pause(u64),
    /// Closes the connection.
    Close,
}

/// `ScriptedServer` answers each request with the steps that its script returns.
pub struct ScriptedServer {
    requests: Arc<Mutex<Vec<ScriptedRequest>>>,
}

impl ScriptedRequest {
    /// Returns the value of a header, or an empty text. `name` is in lower case.
    pub fn header(&self, name: &str) -> &str {
        let mut lines = self.head.lines().filter_map(|line| line.split_once(':'));
        let found = lines.find(|(other, _)| other.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value.trim())
    }
}

impl ScriptedServer {
    /// Starts a server at an address.
    ///
    /// # Errors
    ///
    /// Returns the error of the network if it cannot listen on the address.
    pub async fn start(
        network: &dyn Network,
        address: &str,
        script: impl Fn(&ScriptedRequest) -> Vec<Step> + Send + Sync + 'static,
    ) -> std::io::Result<Self> {
        let listener = network.listen(address).await?;
        let requests = Arc::new(Mutex::new(Vec::new()));
        let (script, recorded) = (Arc::new(script), Arc::clone(&requests));
        tokio::spawn(async move {
            let mut connection = 0;
            while let Ok(io) = listener.accept().await {
                let (script, recorded) = (Arc::clone(&script), Arc::clone(&recorded));
                tokio::spawn(async move {
                    // A connection that the client closes ends its script.
                    let _ = serve(io, connection, &*script, &recorded).await;
                });
                connection += 1;
            }
        });
        Ok(ScriptedServer { requests })
    }

    /// Returns the requests that the server received.
    pub fn requests(&self) -> Vec<ScriptedRequest> {
        self.requests.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

async fn serve(
    mut io: BoxIo,
    connection: usize,
    script: &(dyn Fn(&ScriptedRequest) -> Vec<Step> + Send + Sync),
    recorded: &Mutex<Vec<ScriptedRequest>>,
) -> std::io::Result<()> {
    let mut earlier_requests = 0;
    let mut unread = Vec::new();
    while let Some(head) = read_request(&mut io, &mut unread).await? {
        let request = ScriptedRequest { connection, earlier_requests, head };
        recorded.lock().unwrap_or_else(PoisonError::into_inner).push(request.clone());
        for step in script(&request) {
            match step {
                Step::Write(text) => {
                    io.write_all(text.as_bytes()).await?;
                    io.flush().await?;
                }
                Step::Pause(pause_ms) => sleep(Duration::from_millis(pause_ms)).await,
                Step::Close => return io.shutdown().await,
            }
        }
        earlier_requests += 1;
    }
    Ok(())
}

/// Reads a request with its body and returns its head, or `None` at the end of the connection.
async fn read_request(io: &mut BoxIo, unread: &mut Vec<u8>) -> std::io::Result<Option<String>> {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let text = String::from_utf8_lossy(unread).into_owned();
        if let Some(head_bytes) = text.find(HEAD_END).map(|end| end + HEAD_END.len()) {
            let request = ScriptedRequest {
                connection: 0,
                earlier_requests: 0,
                head: text[..head_bytes].to_owned(),
            };
            let length = head_bytes + request.header("content-length").parse().unwrap_or(0);
            if unread.len() >= length {
                unread.drain(..length);
                return Ok(Some(request.head));
            }
        }
        match io.read(&mut chunk).await? {
            0 => return Ok(None),
            read_bytes => unread.extend_from_slice(&chunk[..read_bytes]),
        }
    }
}
