//! Plain TCP relay: the baseline that a proxy is compared with.

use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpStream};

/// Relays every connection to an address, until the listener fails.
///
/// # Errors
///
/// Fails when no connection can be accepted any more.
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
