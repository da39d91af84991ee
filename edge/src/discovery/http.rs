//! HTTP/1.1 responses, as far as discovery's need it: a body of a stated length, in chunks, or up to the end of the
//! connection.

use std::borrow::Cow;
use thiserror::Error;

/// The most header fields that a response may have.
const MAX_HEADERS: usize = 32;

/// The one status under which a response holds an endpoint list.
const STATUS_OK: u16 = 200;

/// The line end behind the data of a chunk, in bytes.
const CHUNK_END: usize = 2;

/// Why a response holds no endpoint list.
#[derive(Debug, Error)]
pub(super) enum ResponseError {
    /// It is no HTTP.
    #[error("{0}")]
    Head(httparse::Error),
    /// It has another status than 200.
    #[error("status {0}")]
    Status(u16),
    /// Its Content-Length is no number.
    #[error("a malformed Content-Length")]
    ContentLength,
    /// The size of one of its chunks is no number.
    #[error("{0}")]
    ChunkSize(httparse::InvalidChunkSize),
    /// It is longer than what may be buffered.
    #[error("longer than the memory allows")]
    TooLong,
    /// Its body is no endpoint list.
    #[error("{0}")]
    Body(serde_json::Error),
}

/// The body of a whole response.
pub(super) struct ResponseBody<'a> {
    /// The body, put together where it came in chunks.
    pub(super) content: Cow<'a, [u8]>,
    /// The size in bytes of the response, and of informational ones before it.
    pub(super) response_size: usize,
}

/// Takes a whole response off the front of `bytes`, past informational (1xx) ones; none if it is not whole yet. A
/// response of more than `max_size` bytes is an error. One that states no length is whole when the peer has ended its
/// sending (`is_closed`), and only then.
pub(super) fn take_response(
    bytes: &[u8],
    is_closed: bool,
    max_size: usize,
) -> Result<Option<ResponseBody<'_>>, ResponseError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let body_start = match head.parse(bytes).map_err(ResponseError::Head)? {
        httparse::Status::Complete(size) => size,
        httparse::Status::Partial => return Ok(None),
    };
    let status = head.code.unwrap_or(0);
    if (100..200).contains(&status) {
        let next = take_response(&bytes[body_start..], is_closed, max_size)?;
        return Ok(next.map(|body| ResponseBody {
            content: body.content,
            response_size: body_start + body.response_size,
        }));
    }
    // It holds no list, whatever its body is: there is no need to wait for that.
    if status != STATUS_OK {
        return Err(ResponseError::Status(status));
    }
    if let Some(length) = header(&head, "Content-Length") {
        let length = length.trim().parse();
        let length = length.map_err(|_| ResponseError::ContentLength)?;
        return take_sized_body(bytes, body_start, length, max_size);
    }
    let encoding = header(&head, "Transfer-Encoding");
    if encoding.is_some_and(|encoding| encoding.eq_ignore_ascii_case("chunked")) {
        return take_chunks(bytes, body_start, max_size);
    }
    Ok(is_closed.then(|| ResponseBody {
        content: Cow::Borrowed(&bytes[body_start..]),
        response_size: bytes.len(),
    }))
}

/// The value of a header field, if the response has it and it is text.
fn header<'a>(head: &httparse::Response<'_, 'a>, name: &str) -> Option<&'a str> {
    let field = head
        .headers
        .iter()
        .find(|field| field.name.eq_ignore_ascii_case(name))?;
    std::str::from_utf8(field.value).ok()
}

/// Takes a body of a stated length.
fn take_sized_body(
    bytes: &[u8],
    start: usize,
    length: usize,
    max_size: usize,
) -> Result<Option<ResponseBody<'_>>, ResponseError> {
    if length > max_size.saturating_sub(start) {
        return Err(ResponseError::TooLong);
    }
    let end = start + length;
    Ok(bytes.get(start..end).map(|content| ResponseBody {
        content: Cow::Borrowed(content),
        response_size: end,
    }))
}

/// Takes a body that comes in chunks, the last of which is empty.
fn take_chunks(
    bytes: &[u8],
    start: usize,
    max_size: usize,
) -> Result<Option<ResponseBody<'_>>, ResponseError> {
    let mut body = Vec::new();
    let mut next = start;
    loop {
        let parsed =
            httparse::parse_chunk_size(&bytes[next..]).map_err(ResponseError::ChunkSize)?;
        let httparse::Status::Complete((head_size, length)) = parsed else {
            return Ok(None);
        };
        let data_start = next + head_size;
        let chunk_end = chunk_end(data_start, length)
            .filter(|end| *end <= max_size)
            .ok_or(ResponseError::TooLong)?;
        if bytes.len() < chunk_end {
            return Ok(None);
        }
        body.extend_from_slice(&bytes[data_start..chunk_end - CHUNK_END]);
        next = chunk_end;
        if length == 0 {
            return Ok(Some(ResponseBody {
                content: Cow::Owned(body),
                response_size: next,
            }));
        }
    }
}

/// Where a chunk ends, with its line end; none where that can't be counted.
fn chunk_end(data_start: usize, length: u64) -> Option<usize> {
    let length = usize::try_from(length).ok()?;
    data_start.checked_add(length)?.checked_add(CHUNK_END)
}
