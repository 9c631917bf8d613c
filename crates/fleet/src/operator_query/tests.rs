use super::*;

#[test]
fn pages_fit_a_datagram_and_join_to_the_complete_text() {
    for length in [0usize, 1, 250, 251, 252, 502, 503, 70_000] {
        let text: Vec<u8> = (0..length).map(|i| (i % 251) as u8).collect();
        let mut joined: Vec<u8> = Vec::new();
        let mut page = 0;
        while let Some(bytes) = encode_answer(&text, page) {
            assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
            let Page { number, page_count, content } =
                decode_answer(&bytes).expect("an encoded answer");
            assert_eq!((number, usize::from(page_count)), (page, length.div_ceil(251)));
            joined.extend(content);
            page += 1;
        }
        assert_eq!(joined, text);
    }
    // A text with more pages than the header can count gets no answer, rather than a truncated one.
    assert_eq!(encode_answer(&vec![0; 251 * 70_000], 0), None);
}

#[test]
fn datagrams_of_other_forms_are_neither_queries_nor_answers() {
    assert_eq!(requested_page(&[255, 1, 2]), Some(258));
    for datagram in [&[][..], &[255], &[255, 1], &[255, 1, 2, 3], &[1, 1, 2]] {
        assert_eq!(requested_page(datagram), None);
    }
    for datagram in [&[][..], &[255, 0, 0, 0], &[1, 0, 0, 0, 1, 7]] {
        assert_eq!(decode_answer(datagram), None);
    }
}

/// Queries and answers that commit c6abd24 encoded. The operator's program and the balancer may have different
/// versions, so that the format must not change. Each line has a name and the bytes in hexadecimal.
const RECORDED: &str = include_str!("../../tests/data/operator_queries.txt");

fn recorded_bytes(name: &str) -> Vec<u8> {
    let digits = RECORDED.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    let byte = |pair: &[u8]| {
        let digits = std::str::from_utf8(pair).expect("digits");
        u8::from_str_radix(digits, 16).expect("two hexadecimal digits")
    };
    digits.expect("a recorded name").as_bytes().chunks(2).map(byte).collect()
}

#[test]
fn recorded_queries_and_answers_are_read_and_written_unchanged() {
    for page in [0, 1, 258] {
        assert_eq!(requested_page(&recorded_bytes(&format!("query_{page}"))), Some(page));
    }
    let text: Vec<u8> = (0..600usize).map(|i| (i % 251) as u8).collect();
    let mut joined: Vec<u8> = Vec::new();
    for page in 0..3 {
        let bytes = recorded_bytes(&format!("answer_{page}"));
        assert_eq!(encode_answer(&text, page), Some(bytes.clone()));
        let Page { number, page_count, content } = decode_answer(&bytes).expect("an answer");
        assert_eq!((number, page_count), (page, 3));
        joined.extend(content);
    }
    assert_eq!(joined, text);
}
