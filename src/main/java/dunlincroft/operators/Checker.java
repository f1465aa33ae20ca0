package dunlincroft.operators;

import dunlincroft.operators.Lexer.Sort;
import dunlincroft.operators.Lexer.Token;
import dunlincroft.protocol.MalformedException;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Reads and checks an operators' file (grammar in docs/operations.md). What passes can fail no
 * more: names and types are known, nothing is divided by an input, there are no loops.
 */
final class Checker {
  /** Levels. Deeper nesting is refused, so that no file exhausts the stack. */
  private static final int DEEPEST = 50;

  /** Tokens. A longer statement is refused: its value would need a deep stack as well. */
  private static final int LONGEST = 400;

  private static final Set<String> WORDS =
      Set.of("if", "then", "else", "and", "or", "not", "true", "false", "min", "max");

  private final List<Token> tokens;
  private Setting setting;
  private int next;
  private int depth;
  private int begun;

  private Checker(List<Token> tokens) {
    this.tokens = tokens;
  }

  static Map<Setting, Expression> check(String file) throws MalformedException {
    Checker checker = new Checker(Lexer.split(file));
    Map<Setting, Expression> rules = new EnumMap<>(Setting.class);
    while (checker.peek().sort() != Sort.END) {
      checker.statement(rules);
    }
    return rules;
  }

  private void statement(Map<Setting, Expression> rules) throws MalformedException {
    begun = next;
    Token name = take();
    setting = name.sort() == Sort.WORD ? Setting.named(name.text()) : null;
    if (setting == null) {
      throw name.fault("expected a setting, found " + name.said());
    }
    if (rules.containsKey(setting)) {
      throw name.fault(setting.label + " is set twice");
    }
    expect("=");
    Token at = peek();
    Expression rule = wanted(setting.kind, setting.label);
    expect(";");
    if (rule.constant() && setting.kind == Kind.NUMBER) {
      double value = rule.number(Inputs.NONE);
      if (value < setting.least || value > setting.most) {
        throw at.fault(setting.label + " must be from " + setting.least + " to " + setting.most);
      }
    }
    rules.put(setting, rule);
  }

  // ---- expressions, the weakest binding first ----

  private Expression expression() throws MalformedException {
    if (++depth > DEEPEST) {
      throw peek().fault("nested too deeply");
    }
    Expression found = peek().is("if") ? choice() : either();
    depth--;
    return found;
  }

  private Expression choice() throws MalformedException {
    expect("if");
    Expression test = wanted(Kind.TRUTH, "the condition");
    expect("then");
    Expression yes = expression();
    expect("else");
    Expression no = wanted(yes.kind(), "the else part");
    return Expression.from(
        yes.kind(),
        in -> test.truth(in) ? yes.value().apply(in) : no.value().apply(in),
        test,
        yes,
        no);
  }

  private interface Level {
    Expression read() throws MalformedException;
  }

  private interface Join {
    Expression of(Expression left, Token sign, Token at, Expression right)
        throws MalformedException;
  }

  /** Operands of one kind between signs of one strength, from the left. */
  private Expression chain(Set<String> signs, Kind kind, Level operand, Join join)
      throws MalformedException {
    Expression left = operand.read();
    while (signs.stream().anyMatch(sign -> peek().is(sign))) {
      Token sign = take();
      Token at = peek();
      Expression first = typed(left, kind, sign);
      left = join.of(first, sign, at, typed(operand.read(), kind, sign));
    }
    return left;
  }

  private Expression either() throws MalformedException {
    return chain(
        Set.of("or"),
        Kind.TRUTH,
        this::both,
        (a, sign, at, b) -> Expression.from(Kind.TRUTH, in -> a.truth(in) || b.truth(in), a, b));
  }

  private Expression both() throws MalformedException {
    return chain(
        Set.of("and"),
        Kind.TRUTH,
        this::negation,
        (a, sign, at, b) -> Expression.from(Kind.TRUTH, in -> a.truth(in) && b.truth(in), a, b));
  }

  private Expression negation() throws MalformedException {
    if (!peek().is("not")) {
      return comparison();
    }
    Token sign = take();
    Expression part = typed(comparison(), Kind.TRUTH, sign);
    return Expression.from(Kind.TRUTH, in -> !part.truth(in), part);
  }

  private Expression comparison() throws MalformedException {
    Expression left = sum();
    Token sign = peek();
    if (sign.sort() != Sort.SIGN
        || !Set.of("<", "<=", ">", ">=", "==", "!=").contains(sign.text())) {
      return left;
    }
    take();
    boolean equality = sign.is("==") || sign.is("!=");
    Expression first = equality ? left : typed(left, Kind.NUMBER, sign);
    Expression second = typed(sum(), first.kind(), sign);
    if (equality) {
      boolean same = sign.is("==");
      return Expression.from(
          Kind.TRUTH,
          in -> first.value().apply(in).equals(second.value().apply(in)) == same,
          first,
          second);
    }
    String how = sign.text();
    return Expression.from(
        Kind.TRUTH,
        in -> {
          int order = Double.compare(first.number(in), second.number(in));
          return switch (how) {
            case "<" -> order < 0;
            case "<=" -> order <= 0;
            case ">" -> order > 0;
            default -> order >= 0;
          };
        },
        first,
        second);
  }

  private Expression sum() throws MalformedException {
    return chain(
        Set.of("+", "-"),
        Kind.NUMBER,
        this::product,
        (a, sign, at, b) -> {
          int factor = sign.is("+") ? 1 : -1;
          return Expression.from(
              Kind.NUMBER, in -> Expression.hold(a.number(in) + factor * b.number(in)), a, b);
        });
  }

  private Expression product() throws MalformedException {
    return chain(
        Set.of("*", "/"),
        Kind.NUMBER,
        this::signed,
        (a, sign, at, b) -> {
          if (sign.is("*")) {
            return Expression.from(
                Kind.NUMBER, in -> Expression.hold(a.number(in) * b.number(in)), a, b);
          }
          if (!b.constant() || b.number(Inputs.NONE) == 0) {
            throw at.fault("only a constant other than 0 may divide");
          }
          return Expression.from(
              Kind.NUMBER, in -> Expression.hold(a.number(in) / b.number(in)), a, b);
        });
  }

  private Expression signed() throws MalformedException {
    if (!peek().is("-")) {
      return primary();
    }
    Token sign = take();
    Expression part = typed(primary(), Kind.NUMBER, sign);
    return Expression.from(Kind.NUMBER, in -> 0.0 - part.number(in), part);
  }

  private Expression primary() throws MalformedException {
    Token token = take();
    switch (token.sort()) {
      case NUMBER:
        return Expression.of(Double.parseDouble(token.text()));
      case TEXT:
        return Expression.of(token.text());
      case WORD:
        return word(token);
      default:
        if (!token.is("(")) {
          throw token.fault("expected a value, found " + token.said());
        }
        Expression inner = expression();
        expect(")");
        return inner;
    }
  }

  private Expression word(Token token) throws MalformedException {
    if (token.is("true") || token.is("false")) {
      return Expression.of(token.is("true"));
    }
    if (token.is("min") || token.is("max")) {
      expect("(");
      Expression first = wanted(Kind.NUMBER, "what " + token.text() + " takes");
      expect(",");
      Expression second = wanted(Kind.NUMBER, "what " + token.text() + " takes");
      expect(")");
      boolean least = token.is("min");
      return Expression.from(
          Kind.NUMBER,
          in ->
              least
                  ? Math.min(first.number(in), second.number(in))
                  : Math.max(first.number(in), second.number(in)),
          first,
          second);
    }
    Kind kind = setting.scope.names.get(token.text());
    if (kind == null) {
      throw token.fault(
          WORDS.contains(token.text())
              ? "expected a value, found " + token.said()
              : setting.label
                  + " cannot depend on "
                  + token.said()
                  + ", only on "
                  + setting.scope.names.keySet());
    }
    return Expression.input(kind, token.text());
  }

  // ---- helpers ----

  private Expression wanted(Kind kind, String what) throws MalformedException {
    Token at = peek();
    Expression found = expression();
    if (found.kind() != kind) {
      throw at.fault(what + " must be " + kind.said + ", not " + found.kind().said);
    }
    return found;
  }

  private static Expression typed(Expression part, Kind kind, Token sign)
      throws MalformedException {
    if (part.kind() != kind) {
      throw sign.fault(
          sign.said() + " needs " + kind.said + " on this side, not " + part.kind().said);
    }
    return part;
  }

  private Token peek() {
    return tokens.get(next);
  }

  private Token take() throws MalformedException {
    Token token = peek();
    if (next - begun > LONGEST) {
      throw token.fault("the statement is too long");
    }
    if (token.sort() != Sort.END) {
      next++;
    }
    return token;
  }

  private void expect(String text) throws MalformedException {
    Token token = take();
    if (!token.is(text)) {
      throw token.fault("expected '" + text + "', found " + token.said());
    }
  }
}
