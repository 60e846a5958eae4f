use super::*;

/// Guards against memory of any size being allocated for a malformed message of another VM.
#[test]
fn a_value_that_would_be_too_large_is_rejected_before_memory_is_allocated() {
    struct Case {
        compressed: &'static [u8],
        expected: &'static str,
    }
    let cases = [
        Case {
            compressed: b"\xff\xff\xff\xff\x10a",
            expected: "4294967295 bytes",
        },
        Case {
            compressed: b"\x05",
            expected: "can't be decompressed",
        },
    ];
    for case in cases {
        let encoded = EncodedConfiguration {
            revision: Revision(1),
            compressed: Bytes::from_static(case.compressed),
        };
        let error = encoded.decompress().unwrap_err().to_string();
        assert!(error.contains(case.expected), "{error}");
    }
    let value = vec![b'r'; MAX_CONFIGURATION_BYTES];
    let encoded = EncodedConfiguration::compress(Revision(1), &value);
    assert_eq!(encoded.decompress().unwrap(), value);
}
