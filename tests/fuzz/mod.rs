//! Runs decoders on arbitrary bytes, and on valid messages that are mutated and split.
//!
//! `FUZZ_CASES=1000000` runs that many cases of each decoder, `FUZZ_SEED=2` other ones.

use std::env;
use std::fmt::Display;

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::{Index, select};
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// Cases of each decoder when `FUZZ_CASES` isn't set.
const DEFAULT_CASES: u32 = 400;

/// Maximum size of arbitrary bytes.
const MAX_BYTES: usize = 300;

/// Texts that replace a part of a message: bounds of numbers, separators, incomplete characters.
const PARTS: [&[u8]; 14] = [
    b"",
    b" ",
    b"\r\n",
    b"\0",
    b"-1",
    b"0",
    b"1e999",
    b"18446744073709551615",
    b"9223372036854775808",
    b"\"",
    b"{}",
    b"\xc3",
    b"\xff\xff\xff\xff\xff\xff\xff\xff\xff\x01",
    b"\x80\x80\x80\x80\x80\x80\x80\x80\x80\x80\x80",
];

type Decode<'a> = dyn Fn(&[Vec<u8>]) -> Result<(), String> + 'a;

/// Decoder with messages that it accepts.
pub struct Decoder<'a> {
    pub name: &'static str,
    pub valid: Vec<Vec<u8>>,
    /// Decodes bytes that arrive in parts. The error names what was wrong.
    pub decode: Box<Decode<'a>>,
}

impl<'a> Decoder<'a> {
    /// Builds a decoder that needs the whole message.
    pub fn of_whole<T, E: Display>(
        name: &'static str,
        valid: Vec<Vec<u8>>,
        decode: impl Fn(&[u8]) -> Result<T, E> + 'a,
    ) -> Self {
        let decode = move |parts: &[Vec<u8>]| match decode(&parts.concat()) {
            Ok(_) => Ok(()),
            Err(error) => Err(error.to_string()),
        };
        Self {
            name,
            valid,
            decode: Box::new(decode),
        }
    }

    /// Checks that nothing panics and that each error names what was wrong. Returns the number of
    /// cases.
    pub fn run(&self) -> u32 {
        for message in &self.valid {
            let decoded = (self.decode)(std::slice::from_ref(message));
            assert_eq!(decoded, Ok(()), "{}: {message:?}", self.name);
        }
        let mut runner = runner();
        let result = runner.run(&parts(&self.valid), |parts| {
            if let Err(error) = (self.decode)(&parts) {
                prop_assert!(!error.trim().is_empty(), "an error without a reason");
            }
            Ok(())
        });
        if let Err(error) = result {
            panic!("{}: {error}", self.name);
        }
        cases()
    }
}

/// Runs every decoder and prints the number of cases.
pub fn run_all(decoders: &[Decoder<'_>]) {
    for decoder in decoders {
        let cases = decoder.run();
        eprintln!("{}: {cases} cases", decoder.name);
    }
}

/// Returns the number of cases of each decoder.
pub fn cases() -> u32 {
    let set = env::var("FUZZ_CASES").ok();
    set.map_or(DEFAULT_CASES, |text| {
        text.parse().expect("FUZZ_CASES is a number")
    })
}

/// Returns a runner whose cases depend on `FUZZ_SEED` only.
pub fn runner() -> TestRunner {
    let set = env::var("FUZZ_SEED").ok();
    let seed: u64 = set.map_or(1, |text| text.parse().expect("FUZZ_SEED is a number"));
    let seed = [seed.to_le_bytes(); 4].concat();
    let config = Config {
        cases: cases(),
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &seed))
}

/// Returns bytes to decode, in the parts in which they arrive.
pub fn parts(valid: &[Vec<u8>]) -> impl Strategy<Value = Vec<Vec<u8>>> + use<> {
    let replacement = prop_oneof![
        select(PARTS.to_vec()).prop_map(<[u8]>::to_vec),
        vec(any::<u8>(), 0..4),
    ];
    let mutation = (any::<Index>(), 0..12_usize, replacement);
    let mutated = (vec(select(valid.to_vec()), 1..3), vec(mutation, 0..4)).prop_map(
        |(messages, mutations)| {
            let mut bytes = messages.concat();
            for (at, length, replacement) in mutations {
                let from = at.index(bytes.len() + 1);
                let to = bytes.len().min(from + length);
                bytes.splice(from..to, replacement);
            }
            bytes
        },
    );
    let bytes = prop_oneof![1 => vec(any::<u8>(), 0..MAX_BYTES), 4 => mutated];
    (bytes, vec(any::<Index>(), 0..4)).prop_map(|(bytes, cuts)| split(&bytes, &cuts))
}

fn split(bytes: &[u8], cuts: &[Index]) -> Vec<Vec<u8>> {
    let mut cuts: Vec<_> = cuts.iter().map(|cut| cut.index(bytes.len() + 1)).collect();
    cuts.extend([0, bytes.len()]);
    cuts.sort_unstable();
    cuts.windows(2)
        .map(|part| bytes[part[0]..part[1]].to_vec())
        .collect()
}
