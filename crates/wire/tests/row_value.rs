//! Values of table rows between daemons.

use hornbeamloom_wire::row_value::{self, Error};
use quickcheck::{Arbitrary, Gen};

/// Guards against a row that another daemon reads differently from the one that read the store.
fn is_read_back(value: &[u8]) {
    assert_eq!(row_value::decode(&row_value::encode(value.to_vec())).unwrap(), value);
}

hornbeamloom_kernel::cases! {
    is_read_back;

    empty_value_is_read_back: (b"");
    short_value_is_read_back: (b"{}");
    long_value_is_read_back: (&[b'x'; 5_000]);
    // The platform lets other writers store any bytes.
    value_that_starts_like_a_compressed_one_is_read_back: (b"\x01{}");
}

/// Guards against values for which decoding is not the inverse of encoding.
#[test]
fn any_value_is_read_back() {
    let mut g = Gen::from_size_and_seed(4_000, 7);
    for _ in 0..200 {
        let value: Vec<u8> = Arbitrary::arbitrary(&mut g);
        assert_eq!(row_value::decode(&row_value::encode(value.clone())).unwrap(), value);
    }
}

/// Guards against a configuration of 1,400 routes that takes seconds to pass on over a slow link.
#[test]
fn a_large_configuration_becomes_small() {
    let route = |ix: u32| {
        let id = ix.wrapping_mul(2_654_435_761);
        format!(
            "{{\"name\":\"r-{id:x}\",\"host\":\"a.example\",\"path_prefix\":\"/{id:x}/\",\
             \"type\":\"idempotent\",\"timeout_ms\":600,\"service\":\"desk\",\"max_attempts\":2}}"
        )
    };
    let routes: Vec<String> = (0..1_400).map(route).collect();
    let config = routes.join(",").into_bytes();
    assert!(row_value::encode(config.clone()).len() * 4 < config.len());
}

/// Guards against a panic or against unbounded memory use on a damaged value.
#[test]
fn damaged_and_oversized_values_are_rejected() {
    assert!(matches!(row_value::decode(b"\x01\xff\xff"), Err(Error::Damaged(_))));
    let bomb = row_value::encode(vec![0; 20 << 20]);
    assert!(matches!(row_value::decode(&bomb), Err(Error::Oversized)));
}
