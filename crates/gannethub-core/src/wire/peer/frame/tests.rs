use bytes::{BufMut, Bytes, BytesMut};

use super::*;
use crate::wire::peer::{Body, RelayHeartbeat};

#[test]
fn split_frames_are_decoded_and_bad_frames_rejected() {
    let message = Envelope {
        from: "n1".into(),
        body: Some(Body::RelayHeartbeat(RelayHeartbeat {
            id: 9,
            heartbeat: Bytes::from_static(b"{}"),
        })),
    };
    let mut sent = BytesMut::new();
    encode_frame(&message, &mut sent);
    encode_frame(&message, &mut sent);
    let mut received = BytesMut::new();
    let mut messages = 0;
    for byte in sent {
        received.put_u8(byte);
        while let Some(decoded) = decode_frame(&mut received).unwrap() {
            assert_eq!(decoded, message);
            messages += 1;
        }
    }
    assert_eq!(messages, 2);
    let mut too_long = BytesMut::from(&[0xff, 0xff, 0xff, 0xff, 1][..]);
    assert!(matches!(
        decode_frame(&mut too_long),
        Err(FrameError::TooLong(_))
    ));
    let mut malformed = BytesMut::from(&[0, 0, 0, 3, 0xff, 0xff, 0xff][..]);
    assert!(matches!(
        decode_frame(&mut malformed),
        Err(FrameError::Malformed(_))
    ));
}
