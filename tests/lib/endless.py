"""Answers without end: the bytes they start with and those that repeat, by name."""

FILLER = b"x" * 8192
OK_HEAD = b"HTTP/1.1 200 OK\r\n"

ENDLESS_HEADS = {
    "status line": (b"HTTP/1.1 200 ", FILLER),
    "header line": (OK_HEAD + b"x: ", FILLER),
    "header lines": (OK_HEAD, b"x: " + FILLER + b"\r\n"),
    "short header lines": (OK_HEAD, b"x: y\r\n" * 1000),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 300),
    "trailers": (
        OK_HEAD + b"transfer-encoding: chunked\r\n\r\n0\r\n",
        b"x: " + FILLER + b"\r\n",
    ),
    "chunk extension": (
        OK_HEAD + b"transfer-encoding: chunked\r\n\r\n1;a=",
        FILLER,
    ),
    "no protocol": (FILLER, FILLER),
}
ENDLESS_BODIES = {
    "without length": (OK_HEAD + b"\r\n", FILLER),
    "long length": (OK_HEAD + b"content-length: 99999999999\r\n\r\n", FILLER),
    "chunks": (
        OK_HEAD + b"transfer-encoding: chunked\r\n\r\n",
        b"2000\r\n" + FILLER + b"\r\n",
    ),
}
