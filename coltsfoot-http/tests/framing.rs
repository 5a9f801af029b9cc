//! Body framing, and rejection of messages that two parsers could frame differently.

use coltsfoot_http::body::{self, BodyFraming, FramingError};
use coltsfoot_http::{header, message};
use rstest::rstest;

fn headers(fields: &[(&str, &str)]) -> header::HeaderList {
    let mut headers = header::HeaderList::default();
    for (name, value) in fields {
        headers.push(*name, *value);
    }
    headers
}

#[rstest]
#[case::none(&[], Ok(BodyFraming::Done))]
#[case::sized(&[("Content-Length", "12")], Ok(BodyFraming::Sized(12)))]
#[case::empty(&[("content-length", "0")], Ok(BodyFraming::Done))]
#[case::same_twice(&[("Content-Length", "5"), ("Content-Length", "5")], Ok(BodyFraming::Sized(5)))]
#[case::chunked(&[("Transfer-Encoding", "Chunked")], Ok(BodyFraming::ChunkSize))]
#[case::differing(&[("Content-Length", "5"), ("Content-Length", "6")], Err(FramingError::Length))]
#[case::list(&[("Content-Length", "5, 5")], Err(FramingError::Length))]
#[case::signed(&[("Content-Length", "+5")], Err(FramingError::Length))]
#[case::both(
    &[("Content-Length", "5"), ("Transfer-Encoding", "chunked")],
    Err(FramingError::Coding)
)]
#[case::coded(&[("Transfer-Encoding", "gzip, chunked")], Err(FramingError::Coding))]
#[case::twice(
    &[("Transfer-Encoding", "chunked"), ("Transfer-Encoding", "chunked")],
    Err(FramingError::Coding)
)]
fn framing_of_request_bodies(
    #[case] fields: &[(&str, &str)],
    #[case] expected: Result<BodyFraming, FramingError>,
) {
    assert_eq!(BodyFraming::of_request(&headers(fields)), expected);
}

#[rstest]
#[case::no_length(200, "GET", &[], BodyFraming::NonEmptyUntilClose)]
#[case::failure_without_length(500, "GET", &[], BodyFraming::UntilClose)]
#[case::to_head(200, "HEAD", &[("Content-Length", "9")], BodyFraming::Done)]
#[case::no_content(204, "GET", &[], BodyFraming::Done)]
#[case::sized(503, "POST", &[("Content-Length", "9")], BodyFraming::Sized(9))]
fn framing_of_response_bodies(
    #[case] status: u16,
    #[case] method: &str,
    #[case] fields: &[(&str, &str)],
    #[case] expected: BodyFraming,
) {
    let mut head = header::ResponseHead::new(status);
    head.headers = headers(fields);
    assert_eq!(BodyFraming::of_response(&head, method), Ok(expected));
}

#[rstest]
#[case(b"1a", Some(26))]
#[case(b"5;name=value", Some(5))]
#[case(b"5 ", Some(5))]
#[case(b"", None)]
#[case(b"0x5", None)]
#[case(b"-1", None)]
#[case(b"+5", None)]
#[case(b"ffffffffffffffffff", None)]
fn parses_chunk_sizes(#[case] line: &[u8], #[case] expected: Option<u64>) {
    assert_eq!(body::parse_chunk_size(line), expected);
}

#[rstest]
#[case::space_before_colon(b"GET / HTTP/1.1\r\nHost : a\r\n\r\n")]
#[case::folded(b"GET / HTTP/1.1\r\nHost: a\r\n b\r\n\r\n")]
#[case::no_version(b"GET /\r\n\r\n")]
fn malformed_request_heads_are_rejected(#[case] bytes: &[u8]) {
    assert!(message::parse_request(bytes).is_err());
}

#[test]
fn incomplete_head_is_not_parsed() {
    let complete = b"POST /a/b?c=d HTTP/1.1\r\nHost: x\r\nX-Two: 2\r\n\r\nrest";
    for end in 0..complete.len() - 5 {
        let parsed =
            message::parse_request(&complete[..end]).expect("an incomplete head is not an error");
        assert!(parsed.is_none(), "parsed after {end} bytes");
    }
    let (head, length) = message::parse_request(complete).expect("valid").expect("complete");
    assert_eq!((head.path(), length), ("/a/b", complete.len() - 4));
}
