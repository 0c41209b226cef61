"""Heads of replies that are in doubt, and some that are not."""

#: Stands for the fields that make a reply one to the request that was sent.
FIELDS = "{fields}"
LENGTH = "Content-Length: 2\r\n"


def head(status_line="HTTP/1.1 200 OK", fields=LENGTH):
    return f"{status_line}\r\n{FIELDS}{fields}\r\n"


UNSOUND_STATUS_LINES = [
    "HTTP/1.1 000 Reason",
    "HTTP/1.1 099 Reason",
    "HTTP/1.1 600 Reason",
    "HTTP/1.1 999 Reason",
    "HTTP/1.1 20 OK",
    "HTTP/1.1 2000 OK",
    "HTTP/1.1 2x0 OK",
    "HTTP/1.1 +20 OK",
    "HTTP/1.1 200",
    "HTTP/1.1 200OK",
    "HTTP/1.1  200 OK",
    "HTTP/1.1\t200 OK",
    "HTTP/1.1 200 O\x00K",
    "HTTP/1.1 200 O\x7fK",
    "HTTP/1.1 200 O\rK",
    "http/1.1 200 OK",
    "HTTP/1.2 200 OK",
    "HTTP/2.0 200 OK",
    "HTTP/1.10 200 OK",
    "HTTPS/1.1 200 OK",
    " HTTP/1.1 200 OK",
    "\r\nHTTP/1.1 200 OK",
    "ICY 200 OK",
    "HTTP/1.1 101 Switching Protocols",
]
UNSOUND_FIELDS = [
    "X Name: value",
    "X-Name : value",
    "X-Name\t: value",
    " X-Name: value",
    "X-\x01Name: value",
    "X-Name\x00: value",
    "X-N\x7fame: value",
    "X-N\u00e4me: value",
    "X(Name): value",
    ": value",
    "X-Name",
    "X-Name: one\r\n two",
    "X-Name: one\r\n\ttwo",
    "X-Name: val\x00ue",
    "X-Name: val\x01ue",
    "X-Name: val\x1bue",
    "X-Name: val\x7fue",
    "X-Name: val\rue",
    "X-Name: val\nue",
]
UNSOUND_FRAMINGS = [
    "Content-Length: 2\r\nContent-Length: 2",
    "Content-Length: 2\r\nContent-Length: 3",
    "Content-Length: 2, 2",
    "Content-Length: -2",
    "Content-Length: +2",
    "Content-Length: 0x2",
    "Content-Length: 2 ;",
    "Content-Length: two",
    "Content-Length: ",
    "Content-Length: " + "9" * 30,
    "Content-Length : 2",
    "Content Length: 2",
    "Content-Length\x00: 2",
    "Transfer-Encoding: chunked\r\nContent-Length: 2",
    "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
    "Transfer-Encoding: chunked, chunked",
    "Transfer-Encoding: gzip, chunked",
    "Transfer-Encoding: identity",
    "Transfer-Encoding: xchunked",
    "Transfer-Encoding: ",
    "Content-Type: text/plain\r\nContent-Type: text/html\r\nContent-Length: 2",
]
#: Each is complete, up to and with its empty line.
UNSOUND_HEADS = [
    *map(head, UNSOUND_STATUS_LINES),
    *(head(fields=f"{line}\r\n{LENGTH}") for line in UNSOUND_FIELDS),
    *(head(fields=f"{lines}\r\n") for lines in UNSOUND_FRAMINGS),
    head("HTTP/1.0 200 OK", "Transfer-Encoding: chunked\r\n"),
    head("HTTP/1.1 204 No Content", LENGTH),
    head("HTTP/1.1 204 No Content", "Transfer-Encoding: chunked\r\n"),
    head().replace("\r\n", "\n"),
    head().replace("OK\r\n", "OK\n"),
    head().removesuffix("\r\n") + "\n",
    "HTTP/1.1 103 Early\r\nX Name: value\r\n\r\n" + head(),
    "HTTP/1.1 103 Early\r\nContent-Length: 2\r\n\r\n" + head(),
    "HTTP/1.1 103 Early\r\nTransfer-Encoding: chunked\r\n\r\n" + head(),
]

SOUND_HEADS = [
    head(),
    head("HTTP/1.1 200 "),
    head("HTTP/1.1 200 very\tfine indeed"),
    head("HTTP/1.1 200 \u00e4h"),
    head("HTTP/1.0 200 OK"),
    head(fields=""),
    head(fields="Content-Length:2\r\n"),
    head(fields="content-length: \t 002 \t\r\n"),
    head(fields=LENGTH + "X-Empty:\r\nX-Blank: \t \r\n"),
    head(fields=LENGTH + "!#$%&'*+-.^_`|~09azAZ: every character of a name\r\n"),
    head(fields=LENGTH + 'X-Value: !"()/:;<=>?@[\\]{}, tab\there \u00e4\r\n'),
    head(fields=LENGTH + "X-Twice: 1\r\nX-Twice: 2\r\n"),
    "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + head(),
    "HTTP/1.1 100 Continue\r\n\r\n" * 8 + head(),
]
