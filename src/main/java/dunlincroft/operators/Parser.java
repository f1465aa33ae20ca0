package dunlincroft.operators;

import dunlincroft.operators.Lexer.Token;
import dunlincroft.operators.Lexer.TokenType;
import dunlincroft.protocol.MalformedException;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Recursive descent parser and type checker of the operators' settings file (grammar in
 * docs/operations.md). An accepted expression cannot fail at evaluation: names and types have been
 * checked, divisors are constants other than 0, and the language has no loops.
 */
final class Parser {
  /** Maximum levels of nesting. Without a limit a file could exhaust the parser's stack. */
  private static final int MAX_DEPTH = 50;

  /** Maximum tokens of a statement. Evaluating a longer one could exhaust the stack as well. */
  private static final int MAX_STATEMENT_TOKENS = 400;

  private static final Set<String> KEYWORDS =
      Set.of("if", "then", "else", "and", "or", "not", "true", "false", "min", "max");

  private final List<Token> tokens;
  private Setting setting;
  private int next;
  private int depth;
  private int statementStart;

  private Parser(List<Token> tokens) {
    this.tokens = tokens;
  }

  /** Parses a file into the expressions of the settings that it contains. */
  static Map<Setting, Expression> parse(String file) throws MalformedException {
    Parser parser = new Parser(Lexer.tokenize(file));
    Map<Setting, Expression> rules = new EnumMap<>(Setting.class);
    while (parser.peek().type() != TokenType.END) {
      parser.statement(rules);
    }
    return rules;
  }

  private void statement(Map<Setting, Expression> rules) throws MalformedException {
    statementStart = next;
    Token name = consume();
    setting = name.type() == TokenType.WORD ? Setting.byLabel(name.text()) : null;
    if (setting == null) {
      throw name.error("expected a setting, found " + name.description());
    }
    if (rules.containsKey(setting)) {
      throw name.error(setting.label + " is set twice");
    }
    expect("=");
    Token valueStart = peek();
    Expression rule = expressionOf(setting.type, setting.label);
    expect(";");
    if (rule.constant() && setting.type == ValueType.NUMBER) {
      double value = rule.number(Inputs.NONE);
      if (value < setting.min || value > setting.max) {
        throw valueStart.error(
            setting.label + " must be from " + setting.min + " to " + setting.max);
      }
    }
    rules.put(setting, rule);
  }

  // ---- expressions, lowest precedence first ----

  private Expression expression() throws MalformedException {
    if (++depth > MAX_DEPTH) {
      throw peek().error("nested too deeply");
    }
    Expression parsed = peek().is("if") ? conditional() : disjunction();
    depth--;
    return parsed;
  }

  private Expression conditional() throws MalformedException {
    expect("if");
    Expression condition = expressionOf(ValueType.BOOLEAN, "the condition");
    expect("then");
    Expression thenPart = expression();
    expect("else");
    Expression elsePart = expressionOf(thenPart.type(), "the else part");
    return Expression.combine(
        thenPart.type(),
        inputs ->
            condition.bool(inputs)
                ? thenPart.value().apply(inputs)
                : elsePart.value().apply(inputs),
        condition,
        thenPart,
        elsePart);
  }

  private interface OperandParser {
    Expression parse() throws MalformedException;
  }

  private interface Combiner {
    Expression combine(Expression left, Token operator, Token rightStart, Expression right)
        throws MalformedException;
  }

  /** Parses operands of one type, separated by left-associative operators of one precedence. */
  private Expression leftAssociative(
      Set<String> operators, ValueType type, OperandParser operand, Combiner combiner)
      throws MalformedException {
    Expression left = operand.parse();
    while (operators.stream().anyMatch(operator -> peek().is(operator))) {
      Token operator = consume();
      Token rightStart = peek();
      Expression typedLeft = requireType(left, type, operator);
      left =
          combiner.combine(
              typedLeft, operator, rightStart, requireType(operand.parse(), type, operator));
    }
    return left;
  }

  private Expression disjunction() throws MalformedException {
    return leftAssociative(
        Set.of("or"),
        ValueType.BOOLEAN,
        this::conjunction,
        (a, operator, rightStart, b) ->
            Expression.combine(
                ValueType.BOOLEAN, inputs -> a.bool(inputs) || b.bool(inputs), a, b));
  }

  private Expression conjunction() throws MalformedException {
    return leftAssociative(
        Set.of("and"),
        ValueType.BOOLEAN,
        this::negation,
        (a, operator, rightStart, b) ->
            Expression.combine(
                ValueType.BOOLEAN, inputs -> a.bool(inputs) && b.bool(inputs), a, b));
  }

  private Expression negation() throws MalformedException {
    if (!peek().is("not")) {
      return comparison();
    }
    Token operator = consume();
    Expression operand = requireType(comparison(), ValueType.BOOLEAN, operator);
    return Expression.combine(ValueType.BOOLEAN, inputs -> !operand.bool(inputs), operand);
  }

  private Expression comparison() throws MalformedException {
    Expression left = sum();
    Token operator = peek();
    if (operator.type() != TokenType.SYMBOL
        || !Set.of("<", "<=", ">", ">=", "==", "!=").contains(operator.text())) {
      return left;
    }
    consume();
    boolean equality = operator.is("==") || operator.is("!=");
    Expression typedLeft = equality ? left : requireType(left, ValueType.NUMBER, operator);
    Expression right = requireType(sum(), typedLeft.type(), operator);
    if (equality) {
      boolean equal = operator.is("==");
      return Expression.combine(
          ValueType.BOOLEAN,
          inputs -> typedLeft.value().apply(inputs).equals(right.value().apply(inputs)) == equal,
          typedLeft,
          right);
    }
    String symbol = operator.text();
    return Expression.combine(
        ValueType.BOOLEAN,
        inputs -> {
          int order = Double.compare(typedLeft.number(inputs), right.number(inputs));
          return switch (symbol) {
            case "<" -> order < 0;
            case "<=" -> order <= 0;
            case ">" -> order > 0;
            default -> order >= 0;
          };
        },
        typedLeft,
        right);
  }

  private Expression sum() throws MalformedException {
    return leftAssociative(
        Set.of("+", "-"),
        ValueType.NUMBER,
        this::product,
        (a, operator, rightStart, b) -> {
          int factor = operator.is("+") ? 1 : -1;
          return Expression.combine(
              ValueType.NUMBER,
              inputs -> Expression.clamp(a.number(inputs) + factor * b.number(inputs)),
              a,
              b);
        });
  }

  private Expression product() throws MalformedException {
    return leftAssociative(
        Set.of("*", "/"),
        ValueType.NUMBER,
        this::unary,
        (a, operator, rightStart, b) -> {
          if (operator.is("*")) {
            return Expression.combine(
                ValueType.NUMBER,
                inputs -> Expression.clamp(a.number(inputs) * b.number(inputs)),
                a,
                b);
          }
          if (!b.constant() || b.number(Inputs.NONE) == 0) {
            throw rightStart.error("the divisor must be a constant other than 0");
          }
          return Expression.combine(
              ValueType.NUMBER,
              inputs -> Expression.clamp(a.number(inputs) / b.number(inputs)),
              a,
              b);
        });
  }

  private Expression unary() throws MalformedException {
    if (!peek().is("-")) {
      return primary();
    }
    Token operator = consume();
    Expression operand = requireType(primary(), ValueType.NUMBER, operator);
    return Expression.combine(ValueType.NUMBER, inputs -> 0.0 - operand.number(inputs), operand);
  }

  private Expression primary() throws MalformedException {
    Token token = consume();
    switch (token.type()) {
      case NUMBER:
        return Expression.of(Double.parseDouble(token.text()));
      case STRING:
        return Expression.of(token.text());
      case WORD:
        return wordValue(token);
      default:
        if (!token.is("(")) {
          throw token.error("expected a value, found " + token.description());
        }
        Expression inner = expression();
        expect(")");
        return inner;
    }
  }

  private Expression wordValue(Token token) throws MalformedException {
    if (token.is("true") || token.is("false")) {
      return Expression.of(token.is("true"));
    }
    if (token.is("min") || token.is("max")) {
      expect("(");
      Expression first = expressionOf(ValueType.NUMBER, "an argument of " + token.text() + "()");
      expect(",");
      Expression second = expressionOf(ValueType.NUMBER, "an argument of " + token.text() + "()");
      expect(")");
      boolean isMin = token.is("min");
      return Expression.combine(
          ValueType.NUMBER,
          inputs ->
              isMin
                  ? Math.min(first.number(inputs), second.number(inputs))
                  : Math.max(first.number(inputs), second.number(inputs)),
          first,
          second);
    }
    ValueType type = setting.scope.names.get(token.text());
    if (type == null) {
      throw token.error(
          KEYWORDS.contains(token.text())
              ? "expected a value, found " + token.description()
              : setting.label
                  + " cannot depend on "
                  + token.description()
                  + ", only on "
                  + setting.scope.names.keySet());
    }
    return Expression.input(type, token.text());
  }

  // ---- helpers ----

  /** Parses an expression that must have a type. */
  private Expression expressionOf(ValueType type, String what) throws MalformedException {
    Token start = peek();
    Expression parsed = expression();
    if (parsed.type() != type) {
      throw start.error(
          what + " must be " + type.description + ", not " + parsed.type().description);
    }
    return parsed;
  }

  private static Expression requireType(Expression operand, ValueType type, Token operator)
      throws MalformedException {
    if (operand.type() != type) {
      throw operator.error(
          operator.description()
              + " requires "
              + type.description
              + ", not "
              + operand.type().description);
    }
    return operand;
  }

  private Token peek() {
    return tokens.get(next);
  }

  /** Returns the next token and advances past it, except at the end of the file. */
  private Token consume() throws MalformedException {
    Token token = peek();
    if (next - statementStart > MAX_STATEMENT_TOKENS) {
      throw token.error("the statement is too long");
    }
    if (token.type() != TokenType.END) {
      next++;
    }
    return token;
  }

  private void expect(String text) throws MalformedException {
    Token token = consume();
    if (!token.is(text)) {
      throw token.error("expected '" + text + "', found " + token.description());
    }
  }
}
