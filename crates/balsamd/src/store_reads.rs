//! Reads of the metadata store. Each uses a connection of its own, so that a connection that no
//! longer responds fails only one read.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use actix::Addr;
use actix_http::{RequestHead, header};
use bytes::Bytes;
use model::{StoreBody, StoreFailure, StoreRead};
use platform::StoreResponse;

use crate::{
    client::{self, ClientConfig, Relation},
    gateway_messages::StoreReadEnded,
    shell::Shell,
    supervise,
};

/// Starts one read, whose end is reported as [`StoreReadEnded`]. It fails after `timeout`.
pub fn spawn_read(
    shell: &Addr<Shell>,
    config: &ClientConfig,
    address: SocketAddr,
    read: StoreRead,
    timeout: Duration,
) {
    let shell = shell.clone();
    let config = config.clone();
    actix_rt::spawn(async move {
        let _guard = supervise::on_panic({
            let (shell, read) = (shell.clone(), read.clone());
            move || {
                let result = Err(StoreFailure::Unreachable);
                shell.do_send(StoreReadEnded {
                    read,
                    era: 0,
                    result,
                });
            }
        });
        let answer = actix_rt::time::timeout(timeout, fetch(config, address, &read)).await;
        let (era, result) = match answer {
            Ok(Ok((era, result))) => (era, result),
            Ok(Err(failure)) => (0, Err(failure)),
            Err(_) => (0, Err(StoreFailure::Unreachable)),
        };
        shell.do_send(StoreReadEnded { read, era, result });
    });
}

/// The decoded value of a response with its undecoded body, or why it holds none.
type ReadResult = Result<(StoreResponse, StoreBody), StoreFailure>;

/// Reads the store, and returns the era that its response states with the result.
async fn fetch(
    config: ClientConfig,
    address: SocketAddr,
    read: &StoreRead,
) -> Result<(u64, ReadResult), StoreFailure> {
    let unreachable = |_| StoreFailure::Unreachable;
    let mut head = RequestHead::default();
    head.uri = platform::encode_read(read)
        .parse()
        .map_err(|_| StoreFailure::Unreachable)?;
    let host = header::HeaderValue::from_str(&address.to_string());
    let host = host.map_err(|_| StoreFailure::Unreachable)?;
    head.headers.insert(header::HOST, host);
    let config = client::for_store(config);
    let connection = client::open(address, config).await.map_err(unreachable)?;
    let no_body = Bytes::new();
    let exchange = client::exchange(connection, Rc::new(head), None, &no_body, |_| Relation::Own);
    let (response, _) = exchange.await.map_err(unreachable)?;
    // A refusal may be the first answer of an era.
    let era = platform::decode_era(response.head.headers());
    let code = response.head.status.as_u16();
    let store_response = platform::decode_store_response(read, code, &response.body);
    let result = store_response.map(|store_response| (store_response, StoreBody(response.body)));
    Ok((era, result))
}
