//! HTTP reads of the platform's configuration service.

use std::{net::SocketAddr, time::Duration};

use actix::Addr;
use actix_web::http::StatusCode;
use awc::Client;
use model::{PlatformFailure, PlatformRead};

use crate::{
    shell::{PlatformReadEnded, PlatformValue, Shell},
    supervise,
};

/// Time limit of a read, in addition to the watch time-out of a long poll.
const READ_TIMEOUT: Duration = Duration::from_secs(3);
/// Header with the version of the value.
const VERSION_HEADER: &str = "platform-version";
/// Upper limit of a value.
const VALUE_MAX_BYTES: usize = 1_048_576;

/// Starts one read, whose end is reported as [`PlatformReadEnded`].
pub fn spawn_read(
    shell: &Addr<Shell>,
    client: &Client,
    settings: &settings::Platform,
    read: PlatformRead,
) {
    let shell = shell.clone();
    let client = client.clone();
    let address = settings.address;
    let watch_timeout = settings.watch_timeout;
    actix_rt::spawn(async move {
        let _guard = supervise::on_panic({
            let shell = shell.clone();
            move || {
                let result = Err(PlatformFailure::Unreachable);
                shell.do_send(PlatformReadEnded { read, result });
            }
        });
        let result = fetch(&client, address, watch_timeout, read).await;
        shell.do_send(PlatformReadEnded { read, result });
    });
}

async fn fetch(
    client: &Client,
    address: SocketAddr,
    watch_timeout: Duration,
    read: PlatformRead,
) -> Result<PlatformValue, PlatformFailure> {
    let (url, timeout) = match read {
        PlatformRead::WatchNote { after_version } => {
            let wait_ms = watch_timeout.as_millis();
            let query = format!("after_version={after_version}&wait_ms={wait_ms}");
            (
                format!("http://{address}/v1/values/note?{query}"),
                READ_TIMEOUT + watch_timeout,
            )
        }
        PlatformRead::Instances => (format!("http://{address}/v1/instances"), READ_TIMEOUT),
    };
    let request = client.get(url).timeout(timeout);
    let mut response = request
        .send()
        .await
        .map_err(|_| PlatformFailure::Unreachable)?;
    match response.status() {
        StatusCode::OK => {}
        StatusCode::TOO_MANY_REQUESTS => return Err(PlatformFailure::RateLimited),
        _ => return Err(PlatformFailure::Unreachable),
    }
    let version = response.headers().get(VERSION_HEADER);
    let version = version
        .and_then(|value| value.to_str().ok()?.parse().ok())
        .unwrap_or(0);
    let body = response.body().limit(VALUE_MAX_BYTES).await;
    let body = body.map_err(|_| PlatformFailure::Unreachable)?;
    Ok(PlatformValue { version, body })
}
