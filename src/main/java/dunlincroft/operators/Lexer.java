package dunlincroft.operators;

import dunlincroft.protocol.MalformedException;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Splits an operators' file into tokens, each with its place. */
final class Lexer {
  /** The kinds of tokens; END follows the last one. */
  enum Sort {
    NUMBER,
    TEXT,
    WORD,
    SIGN,
    END
  }

  record Token(Sort sort, String text, int line, int column) {
    boolean is(String expected) {
      return (sort == Sort.SIGN || sort == Sort.WORD) && text.equals(expected);
    }

    MalformedException fault(String message) {
      return new MalformedException("line " + line + ", column " + column + ": " + message);
    }

    /** How an error names it. */
    String said() {
      return sort == Sort.END ? "the end" : "'" + text + "'";
    }
  }

  private static final Pattern TOKEN =
      Pattern.compile(
          "(?<blank>[ \\t\\r\\n]+|#[^\\n]*)"
              + "|(?<number>[0-9]{1,12}(?:\\.[0-9]{1,12})?)"
              + "|\"(?<text>[^\"\\n]{0,200})\""
              + "|(?<word>[A-Za-z_][A-Za-z0-9_]{0,60})"
              + "|(?<sign><=|>=|==|!=|[-+*/<>=(),;])");

  private Lexer() {}

  static List<Token> split(String file) throws MalformedException {
    List<Token> tokens = new ArrayList<>();
    Matcher matcher = TOKEN.matcher(file);
    int line = 1;
    int lineStart = 0;
    int at = 0;
    while (at < file.length()) {
      int column = at - lineStart + 1;
      if (!matcher.region(at, file.length()).lookingAt()) {
        String odd = file.substring(at, file.offsetByCodePoints(at, 1));
        throw new Token(Sort.SIGN, odd, line, column).fault("unexpected '" + odd + "'");
      }
      if (matcher.group("number") != null) {
        tokens.add(new Token(Sort.NUMBER, matcher.group(), line, column));
      } else if (matcher.group("text") != null) {
        tokens.add(new Token(Sort.TEXT, matcher.group("text"), line, column));
      } else if (matcher.group("word") != null) {
        tokens.add(new Token(Sort.WORD, matcher.group(), line, column));
      } else if (matcher.group("sign") != null) {
        tokens.add(new Token(Sort.SIGN, matcher.group(), line, column));
      }
      for (; at < matcher.end(); at++) {
        if (file.charAt(at) == '\n') {
          line++;
          lineStart = at + 1;
        }
      }
    }
    tokens.add(new Token(Sort.END, "", line, at - lineStart + 1));
    return tokens;
  }
}
