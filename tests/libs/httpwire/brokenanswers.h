#ifndef EBONY_TESTS_HTTPWIRE_BROKENANSWERS_H
#define EBONY_TESTS_HTTPWIRE_BROKENANSWERS_H

#include <string>
#include <vector>

namespace ebony::httpwire {

/// How an upstream's connection ends after an answer.
enum class Ending { KeptOpen, Closed, Reset };

/// What callers get for an answer of an upstream.
enum class Delivery { Whole, Failure };

/// Bytes that an upstream sends for a request. "{id}" stands for the request's
/// id, "{length}" for the number of bytes after the first head.
struct BrokenAnswer {
  std::string Name_;
  std::string Bytes_;
  Ending Ending_ = Ending::KeptOpen;
  Delivery Delivery_ = Delivery::Failure;
  /// Bytes that follow again and again until the caller closes the connection;
  /// empty if none do.
  std::string Endless_ = {};
};

inline const std::string WholeBody = "whole answer";

/// Returns the fields that match an answer to its request in both systems.
inline std::string ownFields() {
  return "Id: {id}\r\nStamp: s\r\nEbony-Request-Id: {id}\r\n";
}

/// Returns a whole answer with the given status line and additional fields.
inline std::string answerWith(const std::string &StatusLine,
                              const std::string &Fields = "") {
  return StatusLine + "\r\n" + ownFields() + Fields +
         "Content-Length: 12\r\n\r\n" + WholeBody;
}

/// Returns the head of an answer whose body comes in chunks.
inline std::string chunkedHead() {
  return "HTTP/1.1 200 OK\r\n" + ownFields() +
         "Transfer-Encoding: chunked\r\n\r\n";
}

inline std::vector<BrokenAnswer> wholeAnswers() {
  const std::string Ok = "HTTP/1.1 200 OK";
  const std::string Chunks = "c\r\nwhole answer\r\n0\r\n\r\n";
  return {
      {"with a length", answerWith(Ok), Ending::KeptOpen, Delivery::Whole, ""},
      {"in chunks", chunkedHead() + Chunks, Ending::KeptOpen, Delivery::Whole,
       ""},
      {"ended by the connection",
       Ok + "\r\n" + ownFields() + "\r\n" + WholeBody, Ending::Closed,
       Delivery::Whole, ""},
      {"after interim answers",
       "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" +
           answerWith(Ok),
       Ending::KeptOpen, Delivery::Whole, ""},
      {"more bytes follow", answerWith(Ok) + "surplus", Ending::KeptOpen,
       Delivery::Whole, ""},
      {"a chunk with an extension",
       chunkedHead() + "c;a=b\r\nwhole answer\r\n0\r\n\r\n", Ending::KeptOpen,
       Delivery::Whole, ""},
  };
}

/// Answers whose status is none that the protocol has.
inline std::vector<BrokenAnswer> answersWithOddStatus() {
  std::vector<BrokenAnswer> Answers;
  // The body reads like a whole response.
  const std::string Inner = answerWith("HTTP/1.1 200 OK");
  for (const char *Status : {"000", "001", "099", "101", "600", "999"}) {
    const std::string Line = std::string("HTTP/1.1 ") + Status + " Odd";
    std::string Head = Line;
    Head += "\r\n";
    Head += ownFields();
    Answers.push_back({Line + " with a short body", answerWith(Line)});
    std::string Before = Head;
    Before.append("\r\n").append(Inner);
    Answers.push_back({Line + " before a response", Before, Ending::Closed});
    std::string Around = Head;
    Around.append("Content-Length: {length}\r\n\r\n").append(Inner);
    Answers.push_back({Line + " with a response for a body", Around});
  }
  for (const char *Status : {"", "2", "20", "2000", "20x", "-20", "+200"})
    Answers.push_back({std::string("status '") + Status + "'",
                       answerWith(std::string("HTTP/1.1 ") + Status + " Odd")});
  return Answers;
}

/// Answers whose head is none that the protocol has.
inline std::vector<BrokenAnswer> answersWithOddHead() {
  const std::string Ok = "HTTP/1.1 200 OK";
  std::vector<BrokenAnswer> Answers;
  for (const std::string &Byte :
       {std::string(" "), std::string("\t"), std::string("\x01"),
        std::string("\x0b"), std::string("\x7f"), std::string(1, '\0'),
        std::string("\x80"), std::string("("), std::string("/")})
    Answers.push_back({"a name that holds byte " +
                           std::to_string(static_cast<unsigned char>(Byte[0])),
                       answerWith(Ok, "A" + Byte + "b: c\r\n")});
  Answers.push_back({"a blank before the colon", answerWith(Ok, "A : b\r\n")});
  Answers.push_back(
      {"a blank before a name", Ok + "\r\n A: b\r\n" + ownFields() +
                                    "Content-Length: 12\r\n\r\n" + WholeBody});
  Answers.push_back({"a line without a colon", answerWith(Ok, "A\r\n")});
  Answers.push_back({"a field without a name", answerWith(Ok, ": b\r\n")});
  Answers.push_back(
      {"a control byte in a value", answerWith(Ok, "A: \x01\r\n")});
  Answers.push_back({"two lengths", answerWith(Ok, "Content-Length: 5\r\n")});
  Answers.push_back(
      {"an odd length",
       Ok + "\r\n" + ownFields() + "Content-Length: 12x\r\n\r\n" + WholeBody});
  Answers.push_back({"a length and chunks",
                     answerWith(Ok, "Transfer-Encoding: chunked\r\n")});
  Answers.push_back({"a coding that was not asked for",
                     Ok + "\r\n" + ownFields() +
                         "Transfer-Encoding: gzip\r\n\r\n" + WholeBody,
                     Ending::Closed});
  Answers.push_back({"another protocol", answerWith("HTTP/2.0 200 OK")});
  Answers.push_back({"no head", "whole answer\r\n\r\n", Ending::Closed});
  return Answers;
}

/// Answers that end too soon.
inline std::vector<BrokenAnswer> cutAnswers() {
  const std::string Head = "HTTP/1.1 200 OK\r\n" + ownFields();
  const std::string ShortBody = Head + "Content-Length: 20\r\n\r\n" + WholeBody;
  std::vector<BrokenAnswer> Answers;
  for (const Ending End : {Ending::Closed, Ending::Reset}) {
    Answers.push_back({"a cut body with a length", ShortBody, End});
    Answers.push_back(
        {"no last chunk", chunkedHead() + "c\r\nwhole answer\r\n", End});
    Answers.push_back({"a cut chunk", chunkedHead() + "20\r\nwhole", End});
    Answers.push_back({"a cut size of a chunk",
                       chunkedHead() + "c\r\nwhole answer\r\n1", End});
    Answers.push_back({"an odd size of a chunk",
                       chunkedHead() + "c\r\nwhole answer\r\nx\r\n\r\n", End});
    Answers.push_back({"a cut head", Head, End});
  }
  Answers.push_back({"a body without a length that is reset",
                     Head + "\r\n" + WholeBody, Ending::Reset});
  return Answers;
}

/// Bytes without end that are no answer, or more of one than is ever read.
inline std::vector<BrokenAnswer> endlessAnswers() {
  const std::string Filler(4096, 'x');
  const std::string Ok = "HTTP/1.1 200 OK\r\n";
  std::vector<BrokenAnswer> Answers = {
      {"no answer", "", Ending::KeptOpen, Delivery::Failure, Filler},
      {"a status line", Ok.substr(0, 13), Ending::KeptOpen, Delivery::Failure,
       Filler},
      {"blank lines", "", Ending::KeptOpen, Delivery::Failure, "\r\n"},
      {"the value of a field", Ok + "A: ", Ending::KeptOpen, Delivery::Failure,
       Filler},
      {"the name of a field", Ok, Ending::KeptOpen, Delivery::Failure, Filler},
      {"fields", Ok, Ending::KeptOpen, Delivery::Failure, "A: b\r\n"},
      {"interim answers", "", Ending::KeptOpen, Delivery::Failure,
       "HTTP/1.1 102 Processing\r\n\r\n"},
      {"answers to another request", "", Ending::KeptOpen, Delivery::Failure,
       "HTTP/1.1 200 OK\r\nId: other\r\nEbony-Request-Id: other\r\n"
       "Content-Length: 0\r\n\r\n"},
      {"the size of a chunk", chunkedHead(), Ending::KeptOpen,
       Delivery::Failure, "0"},
      {"the extension of a chunk", chunkedHead() + "1;a=", Ending::KeptOpen,
       Delivery::Failure, Filler},
      {"chunks with extensions", chunkedHead(), Ending::KeptOpen,
       Delivery::Failure, "1;" + std::string(100, 'a') + "\r\nx\r\n"},
      {"a trailer", chunkedHead() + "0\r\nA: ", Ending::KeptOpen,
       Delivery::Failure, Filler},
      {"trailers", chunkedHead() + "0\r\n", Ending::KeptOpen, Delivery::Failure,
       "A: b\r\n"},
      {"bytes after a whole answer", answerWith("HTTP/1.1 200 OK"),
       Ending::KeptOpen, Delivery::Whole, Filler},
  };
  // Small pieces are sent many at a time.
  for (BrokenAnswer &Answer : Answers)
    while (Answer.Endless_.size() < Filler.size())
      Answer.Endless_ += Answer.Endless_;
  return Answers;
}

} // namespace ebony::httpwire

#endif
