//! Memory that a VM uses for idle callers and for a large result to a slow reader.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use futures::future::try_join_all;
use futures::{FutureExt, TryStreamExt, pin_mut};
use snafu::ResultExt;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Sleep;
use tokio_postgres::NoTls;

use super::bench::{Bench, ProcessSnafu, Result};
use super::load::AccessPath;
use crate::measure::{Figure, Target};

/// Number of idle callers.
const IDLE_CALLERS: usize = 8_000;

/// Number of callers that log in concurrently.
const LOGINS_AT_ONCE: usize = 100;

/// Time after the last login until memory is measured.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// Number of rows of the large result.
const ROWS: u64 = 16 * 1_024;
/// Size of each row of the large result.
const ROW_BYTES: u64 = 64 * 1_024;

/// Time during which the reader of the large result is slow; it then reads at full speed.
const SLOW_TIME: Duration = Duration::from_secs(3);

/// Pause of the slow reader after each read.
const SLOW_PAUSE: Duration = Duration::from_millis(10);

/// Measures the memory of the VM that is home of the database.
pub(super) async fn figures(bench: &Bench) -> Result<Vec<Figure>> {
    // A failed large result misses its target, but does not prevent the other figures.
    let growth = large_result(bench).await.unwrap_or_else(|error| {
        log::error!("event=large_result_failed error=\"{error}\"");
        f64::INFINITY
    });
    let idle = idle_callers(bench).await?;
    Ok(vec![
        Figure::new(
            format!("memory of an idle caller, of {IDLE_CALLERS}"),
            idle,
            "bytes",
        )
        .with_target(Target::AtMost(24.0 * 1_024.0)),
        Figure::new(
            "memory that a 1 GB result to a slow reader takes",
            growth,
            "bytes",
        )
        .with_target(Target::AtMost(8.0 * 1_024.0 * 1_024.0)),
    ])
}

async fn idle_callers(bench: &Bench) -> Result<f64> {
    let vm = &bench.daemons[bench.home()];
    let before = vm.resident_bytes();
    let mut clients = Vec::with_capacity(IDLE_CALLERS);
    while clients.len() < IDLE_CALLERS {
        let connecting = (0..LOGINS_AT_ONCE).map(|_| bench.connect(AccessPath::Home));
        clients.extend(try_join_all(connecting).await?);
    }
    tokio::time::sleep(SETTLE_TIME).await;
    let growth = vm.resident_bytes().saturating_sub(before);
    Ok(growth as f64 / clients.len() as f64)
}

async fn large_result(bench: &Bench) -> Result<f64> {
    let config = bench.config(AccessPath::Home);
    let address = bench.caller_address(AccessPath::Home);
    let socket = TcpStream::connect(address).await.context(ProcessSnafu)?;
    let slow = Arc::new(AtomicBool::new(true));
    let socket = PacedSocket {
        socket,
        slow: Arc::clone(&slow),
        pause: None,
    };
    let (client, connection) = config.connect_raw(socket, NoTls).await?;
    tokio::spawn(connection.map(|_| ()));
    let vm = &bench.daemons[bench.home()];
    let before = vm.resident_bytes();
    let statement = format!("SELECT repeat('x', {ROW_BYTES}) FROM generate_series(1, {ROWS})");
    let read_all = async {
        let rows = client.simple_query_raw(&statement).await?;
        pin_mut!(rows);
        while rows.try_next().await?.is_some() {}
        Ok::<_, tokio_postgres::Error>(())
    };
    let mut greatest = before;
    let sample_memory = async {
        let start = tokio::time::Instant::now();
        loop {
            greatest = greatest.max(vm.resident_bytes());
            if start.elapsed() > SLOW_TIME {
                slow.store(false, Ordering::Relaxed);
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::select! {
        result = read_all => result?,
        () = sample_memory => {}
    }
    Ok(greatest.saturating_sub(before) as f64)
}

/// Socket that pauses after each read while `slow` is set.
struct PacedSocket {
    socket: TcpStream,
    slow: Arc<AtomicBool>,
    pause: Option<Pin<Box<Sleep>>>,
}

impl AsyncRead for PacedSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if let Some(pause) = &mut self.pause {
            futures::ready!(pause.as_mut().poll(cx));
            self.pause = None;
        }
        futures::ready!(Pin::new(&mut self.socket).poll_read(cx, buf))?;
        if self.slow.load(Ordering::Relaxed) {
            self.pause = Some(Box::pin(tokio::time::sleep(SLOW_PAUSE)));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for PacedSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}
