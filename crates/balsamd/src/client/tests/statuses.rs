//! Every status that a target or the store can send: only a final status that HTTP defines is an
//! answer, and none makes the client wait without end.

use futures_util::future::join_all;

use super::*;

/// Starts a peer that answers a request with bytes, and then waits for the client to close the
/// connection.
async fn spawn_answering(answer: String) -> SocketAddr {
    let listener = listen().await;
    let address = listener.local_addr().expect("an address");
    spawn_answer(listener, answer);
    address
}

async fn listen() -> Rc<TcpListener> {
    Rc::new(TcpListener::bind("127.0.0.1:0").await.expect("a port"))
}

/// Answers the next connection of a listener.
fn spawn_answer(listener: Rc<TcpListener>, answer: String) {
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        read_head(&mut stream).await;
        // Fails if the client refuses the answer before it is written.
        let _ = stream.write_all(answer.as_bytes()).await;
        let _ = stream.read(&mut [0; 1]).await;
    });
}

/// Sends a request as to a target or as to the store, whose answers need not name their request.
async fn ask(
    listener: &Rc<TcpListener>,
    status_line: &str,
    headers: &str,
    is_store: bool,
) -> Result<Response, ClientError> {
    let answer = format!("HTTP/1.1 {status_line}\r\n{headers}\r\nok");
    spawn_answer(listener.clone(), answer);
    let address = listener.local_addr().expect("an address");
    let connection = open(address, config()).await.expect("a connection");
    let head = Rc::new(RequestHead::default());
    let relation = |head: &ResponseHead| match is_store {
        true => Relation::Own,
        false => relation(head),
    };
    let no_body = Bytes::new();
    let pending = exchange(connection, head, None, &no_body, relation);
    let result = actix_rt::time::timeout(TEST_TIMEOUT, pending).await;
    let (response, _) = result.unwrap_or_else(|_| panic!("{status_line:?}: no end"))?;
    Ok(response)
}

const NAMED: &str = "request-id: r-1\r\ncontent-length: 2\r\n";
const UNNAMED: &str = "content-length: 2\r\n";

#[test]
fn only_final_statuses_of_http_are_answers() {
    actix_rt::System::new().block_on(async {
        let _processor = PROCESSOR.write().await;
        let listener = listen().await;
        for code in 0..=999_u16 {
            for (headers, is_store) in [(NAMED, false), (UNNAMED, false), (UNNAMED, true)] {
                for reason in ["", " ", " Fine, 200 OK"] {
                    let line = format!("{code:03}{reason}");
                    let result = ask(&listener, &line, headers, is_store).await;
                    let status = result
                        .as_ref()
                        .map(|response| response.head.status.as_u16());
                    match (200..600).contains(&code) {
                        true => assert_eq!(status.ok(), Some(code), "{line:?} {headers:?}"),
                        false => assert!(status.is_err(), "{line:?} {headers:?}: {status:?}"),
                    }
                }
            }
        }
    });
}

#[rstest]
#[case("+200 OK")]
#[case("-200 OK")]
#[case("-1 OK")]
#[case("  200 OK")]
#[case("2 00 OK")]
#[case("20 OK")]
#[case("2000 OK")]
#[case("1000 OK")]
#[case("20O OK")]
#[case("0x200 OK")]
#[case("OK")]
#[case("")]
fn a_status_that_is_no_number_of_three_digits_is_no_answer(#[case] line: &str) {
    actix_rt::System::new().block_on(async {
        let listener = listen().await;
        for is_store in [false, true] {
            assert!(
                ask(&listener, line, NAMED, is_store).await.is_err(),
                "{line:?}"
            );
        }
    });
}

/// Guards against a caller that waits until its time limit for what never follows.
#[test]
fn informational_responses_without_a_final_one_end_the_exchange() {
    actix_rt::System::new().block_on(async {
        let exchanges = (100..200).map(|code| async move {
            let address = spawn_answering(format!("HTTP/1.1 {code} Wait\r\n\r\n")).await;
            (code, send_request(address, Bytes::new()).await.is_err())
        });
        for (code, is_failed) in join_all(exchanges).await {
            assert!(is_failed, "{code}");
        }
    });
}

/// Guards against reading a body that HTTP says is none, and against a next response that is taken
/// from its bytes.
#[rstest]
#[case("204 No Content")]
#[case("304 Not Modified")]
fn statuses_without_a_body_end_at_their_head(#[case] line: &str) {
    actix_rt::System::new().block_on(async {
        let listener = listen().await;
        let response = ask(&listener, line, NAMED, false).await.expect("an answer");
        assert!(response.body.is_empty());
        assert!(!response.is_reusable);
        let chunked = "request-id: r-1\r\ntransfer-encoding: chunked\r\n";
        let response = ask(&listener, line, chunked, false)
            .await
            .expect("an answer");
        assert!(response.body.is_empty() && !response.is_reusable);
    });
}
