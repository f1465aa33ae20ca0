package dunlincroft.operators;

import dunlincroft.protocol.MalformedException;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Splits an operators' settings file into tokens with their line and column. */
final class Lexer {
  /** Types of tokens; END marks the end of the file. */
  enum TokenType {
    NUMBER,
    STRING,
    WORD,
    SYMBOL,
    END
  }

  record Token(TokenType type, String text, int line, int column) {
    /** Whether the token is a symbol or word with this text. */
    boolean is(String expected) {
      return (type == TokenType.SYMBOL || type == TokenType.WORD) && text.equals(expected);
    }

    /** An exception whose message names the token's position. */
    MalformedException error(String message) {
      return new MalformedException("line " + line + ", column " + column + ": " + message);
    }

    /** Description in error messages. */
    String description() {
      return type == TokenType.END ? "the end of the file" : "'" + text + "'";
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

  static List<Token> tokenize(String file) throws MalformedException {
    List<Token> tokens = new ArrayList<>();
    Matcher matcher = TOKEN.matcher(file);
    int line = 1;
    int lineStart = 0;
    int offset = 0;
    while (offset < file.length()) {
      int column = offset - lineStart + 1;
      if (!matcher.region(offset, file.length()).lookingAt()) {
        String unexpected = file.substring(offset, file.offsetByCodePoints(offset, 1));
        throw new Token(TokenType.SYMBOL, unexpected, line, column)
            .error("unexpected '" + unexpected + "'");
      }
      if (matcher.group("number") != null) {
        tokens.add(new Token(TokenType.NUMBER, matcher.group(), line, column));
      } else if (matcher.group("text") != null) {
        tokens.add(new Token(TokenType.STRING, matcher.group("text"), line, column));
      } else if (matcher.group("word") != null) {
        tokens.add(new Token(TokenType.WORD, matcher.group(), line, column));
      } else if (matcher.group("sign") != null) {
        tokens.add(new Token(TokenType.SYMBOL, matcher.group(), line, column));
      }
      for (; offset < matcher.end(); offset++) {
        if (file.charAt(offset) == '\n') {
          line++;
          lineStart = offset + 1;
        }
      }
    }
    tokens.add(new Token(TokenType.END, "", line, offset - lineStart + 1));
    return tokens;
  }
}
