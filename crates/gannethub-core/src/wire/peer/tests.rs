use super::*;

#[test]
fn frames_survive_splitting_and_garbage_is_refused() {
    let m = Envelope {
        from: "n1".into(),
        body: Some(Body::RelayHeartbeat(RelayHeartbeat {
            id: 9,
            heartbeat: Bytes::from_static(b"{}"),
        })),
    };
    let mut wire = BytesMut::new();
    encode_frame(&m, &mut wire);
    encode_frame(&m, &mut wire);
    let mut buf = BytesMut::new();
    let mut seen = 0;
    for b in wire {
        buf.put_u8(b);
        while let Some(got) = decode_frame(&mut buf).unwrap() {
            assert_eq!(got, m);
            seen += 1;
        }
    }
    assert_eq!(seen, 2);
    let mut long = BytesMut::from(&[0xff, 0xff, 0xff, 0xff, 1][..]);
    assert!(matches!(
        decode_frame(&mut long),
        Err(FrameError::TooLong(_))
    ));
    let mut junk = BytesMut::from(&[0, 0, 0, 3, 0xff, 0xff, 0xff][..]);
    assert!(matches!(
        decode_frame(&mut junk),
        Err(FrameError::Garbled(_))
    ));
}
