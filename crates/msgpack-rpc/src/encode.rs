//! Messages into bytes. Values that are given as bytes must be whole ones: [`Raw`](crate::Raw)s, or
//! what the other functions here have written.

use rmp::encode::{write_array_len, write_nil, write_str, write_uint};

/// A write into memory has nothing that can fail.
pub(crate) type Out = Vec<u8>;

/// A call that is to be answered.
pub fn request(out: &mut Out, msgid: u32, method: &str, params: &[u8]) {
    let _ = write_array_len(out, 4);
    let _ = write_uint(out, 0);
    let _ = write_uint(out, msgid.into());
    let _ = write_str(out, method);
    out.extend_from_slice(params);
}

/// A call that is not to be answered.
pub fn notification(out: &mut Out, method: &str, params: &[u8]) {
    let _ = write_array_len(out, 3);
    let _ = write_uint(out, 2);
    let _ = write_str(out, method);
    out.extend_from_slice(params);
}

/// The answer to a call that gave something.
pub fn response_ok(out: &mut Out, msgid: u32, result: &[u8]) {
    response(out, msgid);
    let _ = write_nil(out);
    out.extend_from_slice(result);
}

/// The answer to a call that went wrong.
pub fn response_err(out: &mut Out, msgid: u32, error: &[u8]) {
    response(out, msgid);
    out.extend_from_slice(error);
    let _ = write_nil(out);
}

fn response(out: &mut Out, msgid: u32) {
    let _ = write_array_len(out, 4);
    let _ = write_uint(out, 1);
    let _ = write_uint(out, msgid.into());
}
