//! A proxy that injects link faults: open connections fall silent while new ones work, or the link
//! is cut for a time.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    /// Number of times that the open connections fell silent; one that is older passes on nothing.
    generation: Arc<AtomicU64>,
    /// Whether nothing passes, in either direction.
    is_cut: Arc<AtomicBool>,
}

/// Interval at which a cut connection looks whether the link is back.
const CUT_CHECK_INTERVAL: Duration = Duration::from_millis(20);

impl Proxy {
    pub fn start(target: SocketAddr) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").expect("no port for a proxy");
        let address = listener.local_addr().expect("no address of a proxy");
        let generation = Arc::new(AtomicU64::new(0));
        let shared = generation.clone();
        let is_cut = Arc::new(AtomicBool::new(false));
        let link = is_cut.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let Ok(onward) = TcpStream::connect(target) else {
                    continue;
                };
                let _ = (stream.set_nodelay(true), onward.set_nodelay(true));
                let ends = [
                    (stream.try_clone(), onward.try_clone()),
                    (Ok(onward), Ok(stream)),
                ];
                let born = shared.load(Ordering::SeqCst);
                for (from, to) in ends {
                    let (Ok(from), Ok(to)) = (from, to) else {
                        continue;
                    };
                    let (generation, link) = (shared.clone(), link.clone());
                    thread::spawn(move || copy(from, to, born, &generation, &link));
                }
            }
        });
        Proxy {
            address,
            generation,
            is_cut,
        }
    }

    /// Cuts the link, or heals it; what was sent meanwhile passes then.
    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }

    /// Makes the connections that are open now pass on nothing any more, neither bytes nor their
    /// end. Both sides keep them open.
    pub fn silence(&self) {
        self.generation.fetch_add(1, Ordering::SeqCst);
    }
}

fn copy(
    mut from: TcpStream,
    mut to: TcpStream,
    born: u64,
    generation: &AtomicU64,
    is_cut: &AtomicBool,
) {
    let mut bytes = [0; 16 * 1024];
    loop {
        let read = from.read(&mut bytes);
        if generation.load(Ordering::SeqCst) != born {
            // Keeps both sockets open for the rest of the case.
            thread::sleep(Duration::from_secs(600));
            return;
        }
        while is_cut.load(Ordering::SeqCst) {
            thread::sleep(CUT_CHECK_INTERVAL);
        }
        match read {
            Ok(count) if count > 0 && to.write_all(&bytes[..count]).is_ok() => {}
            _ => break,
        }
    }
    let _ = to.shutdown(Shutdown::Write);
}
