//! A TCP relay that simulates silent connections: they stay open but deliver
//! nothing.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// A relay in front of the peer address of one node, used for the fault
/// `silent-connections`.
#[derive(Debug)]
pub struct Relay {
    pub address: SocketAddr,
    /// Incremented to silence connections: those of an earlier generation forward
    /// nothing.
    generation: AtomicU64,
}

impl Relay {
    pub async fn start(upstream: SocketAddr) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let relay = Arc::new(Self {
            address: listener.local_addr()?,
            generation: AtomicU64::new(0),
        });
        let acceptor = Arc::clone(&relay);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(Arc::clone(&acceptor).forward_connection(stream, upstream));
            }
        });
        Ok(relay)
    }

    /// Silences every established connection without closing it. New connections
    /// work.
    pub fn silence(&self) {
        self.generation.fetch_add(1, Ordering::Relaxed);
    }

    async fn forward_connection(self: Arc<Self>, from: TcpStream, upstream: SocketAddr) {
        let generation = self.generation.load(Ordering::Relaxed);
        let Ok(to) = TcpStream::connect(upstream).await else {
            return;
        };
        let _ = (from.set_nodelay(true), to.set_nodelay(true));
        let (mut from_read, mut from_write) = from.into_split();
        let (mut to_read, mut to_write) = to.into_split();
        tokio::select! {
            () = self.forward(generation, &mut from_read, &mut to_write) => {}
            () = self.forward(generation, &mut to_read, &mut from_write) => {}
        }
    }

    async fn forward(
        &self,
        generation: u64,
        reader: &mut tokio::net::tcp::OwnedReadHalf,
        writer: &mut tokio::net::tcp::OwnedWriteHalf,
    ) {
        let mut buffer = vec![0; 16 * 1024];
        while let Ok(length @ 1..) = reader.read(&mut buffer).await {
            if self.generation.load(Ordering::Relaxed) != generation {
                // Keeps the connection open without forwarding anything.
                std::future::pending::<()>().await;
            }
            if writer.write_all(&buffer[..length]).await.is_err() {
                return;
            }
        }
        if self.generation.load(Ordering::Relaxed) != generation {
            std::future::pending::<()>().await;
        }
    }
}
