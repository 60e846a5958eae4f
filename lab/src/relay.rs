//! Plain TCP relay, the baseline for the overhead measurement.

use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpStream};

/// Relays every accepted connection to an address until the listener fails.
///
/// # Errors
///
/// Fails when the listener can't accept connections.
pub async fn run(listener: TcpListener, to: SocketAddr) -> std::io::Result<()> {
    loop {
        let (caller, _) = listener.accept().await?;
        tokio::spawn(async move {
            if let Err(error) = copy(caller, to).await {
                log::debug!("event=relay_ended to={to} error={error:?}");
            }
        });
    }
}

async fn copy(mut caller: TcpStream, to: SocketAddr) -> std::io::Result<()> {
    let mut upstream = TcpStream::connect(to).await?;
    caller.set_nodelay(true)?;
    upstream.set_nodelay(true)?;
    tokio::io::copy_bidirectional(&mut caller, &mut upstream).await?;
    Ok(())
}
