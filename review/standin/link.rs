//! Link between one VM and a server: a proxy that can be cut.
//!
//! While a link is cut, bytes are held up in both directions. When the cut heals, they arrive,
//! except those of a side that has reset its connection meanwhile. A connection that was opened
//! during the cut never existed for the server: its opening packet was lost.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

const POLL_INTERVAL: Duration = Duration::from_millis(1);

pub struct Link {
    pub address: SocketAddr,
    is_cut: Arc<AtomicBool>,
}

impl Link {
    pub fn start(server: SocketAddr) -> Result<Self, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
        let address = listener.local_addr().map_err(|error| error.to_string())?;
        let is_cut = Arc::new(AtomicBool::new(false));
        let shared = Arc::clone(&is_cut);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if shared.load(Ordering::SeqCst) {
                    // Neither answered nor passed on.
                    std::mem::forget(stream);
                    continue;
                }
                let Ok(upstream) = TcpStream::connect(server) else {
                    continue;
                };
                let _ = stream.set_nodelay(true);
                let _ = upstream.set_nodelay(true);
                for (from, to) in [(&stream, &upstream), (&upstream, &stream)] {
                    let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else {
                        continue;
                    };
                    let is_cut = Arc::clone(&shared);
                    thread::spawn(move || pass(from, to, &is_cut));
                }
            }
        });
        Ok(Self { address, is_cut })
    }

    pub fn cut(&self) {
        self.is_cut.store(true, Ordering::SeqCst);
    }

    pub fn heal(&self) {
        self.is_cut.store(false, Ordering::SeqCst);
    }
}

fn pass(mut from: TcpStream, mut to: TcpStream, is_cut: &AtomicBool) {
    let _ = from.set_read_timeout(Some(POLL_INTERVAL));
    let mut held = Vec::new();
    let mut has_ended = false;
    let mut buffer = [0; 16_384];
    loop {
        if has_ended {
            thread::sleep(POLL_INTERVAL);
        } else {
            match from.read(&mut buffer) {
                Ok(0) => has_ended = true,
                Ok(length) => held.extend_from_slice(&buffer[..length]),
                Err(error)
                    if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(_) => {
                    // A reset: what is held up is lost.
                    let _ = to.shutdown(Shutdown::Both);
                    return;
                }
            }
        }
        if is_cut.load(Ordering::SeqCst) {
            continue;
        }
        if !held.is_empty() && to.write_all(&held).is_err() {
            let _ = from.shutdown(Shutdown::Both);
            return;
        }
        held.clear();
        if has_ended {
            let _ = to.shutdown(Shutdown::Write);
            return;
        }
    }
}
