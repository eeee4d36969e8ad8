//! A stand-in of a backend: runs one request at a time on a connection, and echoes its id.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;

use crate::http::{self, Connection, Message};

/// What a backend does with a request that names it, and the bytes that it answers.
pub type Run = dyn Fn(&Message) -> Vec<u8> + Send + Sync;

pub struct Backend {
    pub id: String,
    pub address: SocketAddr,
}

impl Backend {
    pub fn start(id: &str, run: Arc<Run>) -> Backend {
        let listener = TcpListener::bind("127.0.0.1:0").expect("no port for a backend");
        let address = listener.local_addr().expect("no address of a backend");
        let own_id = id.to_owned();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (run, id) = (run.clone(), own_id.clone());
                thread::spawn(move || serve(stream, &id, &*run));
            }
        });
        Backend {
            id: id.to_owned(),
            address,
        }
    }
}

fn serve(stream: TcpStream, id: &str, run: &Run) {
    let mut connection = Connection::new(stream);
    while let Ok(Some(request)) = connection.read() {
        let is_health = request.start.starts_with("GET /health ");
        let named = request.header("target-instance");
        let bytes = if is_health {
            http::response("200 OK", &[("Instance-Id", id)], b"")
        } else if named.is_some_and(|named| named != id) {
            http::response("421 Misdirected Request", &[("Instance-Id", id)], b"")
        } else {
            run(&request)
        };
        if connection.write(&bytes).is_err() {
            return;
        }
    }
}

/// Returns the registration of a backend that is ready, as it lies in the store.
pub fn registration(service: &str, address: SocketAddr, zone: &str, slots: u32) -> String {
    format!(
        r#"{{"Service":"{service}","Address":"{address}","Zone":"{zone}","Version":"v1","Concurrency":{slots},"State":"ready","ColdLeftMs":0,"Sequence":1,"born":1780000000000}}"#
    )
}
