// Reason phrases of the status codes that the repository front answers with (RFC 9110, 15).
#pragma once

namespace lotuslead::repository {

inline const char* reasonOf(int status) {
    switch (status) {
        case 200:
            return "OK";
        case 206:
            return "Partial Content";
        case 304:
            return "Not Modified";
        case 400:
            return "Bad Request";
        case 404:
            return "Not Found";
        case 405:
            return "Method Not Allowed";
        case 408:
            return "Request Timeout";
        case 413:
            return "Content Too Large";
        case 416:
            return "Range Not Satisfiable";
        case 431:
            return "Request Header Fields Too Large";
        case 502:
            return "Bad Gateway";
        case 503:
            return "Service Unavailable";
        default:
            return "Gateway Timeout";
    }
}

}  // namespace lotuslead::repository
