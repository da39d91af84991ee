use super::*;

#[test]
fn complete_frames_are_taken_and_a_partial_frame_stays_in_the_buffer() {
    let mut input = b"+PONG\r\n$5\r\nhello\r\n$9\r\nhal".to_vec();
    let taken = take_frames(&mut input);
    let expected = [
        OwnedFrame::SimpleString(b"PONG".to_vec()),
        bulk_string("hello"),
    ];
    assert_eq!(taken.frames, expected);
    assert!(!taken.is_malformed);
    assert_eq!(input, b"$9\r\nhal");
}

#[test]
fn malformed_bytes_are_reported_together_with_the_frames_before_them() {
    let mut input = b"+PONG\r\n\x07noise\r\n".to_vec();
    let taken = take_frames(&mut input);
    assert_eq!(taken.frames.len(), 1);
    assert!(taken.is_malformed);
}

#[test]
fn an_encoded_frame_decodes_to_itself() {
    let frame = OwnedFrame::Array(vec![bulk_string("a"), OwnedFrame::Null]);
    let mut bytes = encode(&frame);
    assert_eq!(take_frames(&mut bytes).frames, [frame]);
}
