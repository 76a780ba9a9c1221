import type * as neverthrow from "neverthrow";

import * as httpConnector from "../../_lib/httpConnector/index.js";
import * as stepError from "../../_lib/stepError/index.js";
import type * as types from "../types.js";

const DEFAULT_CONTENT_TYPE = "application/octet-stream";

/** HTTP client of a plain server. */
export class HttpServiceClient implements types.ServiceClient, Disposable {
  private readonly connector: httpConnector.HttpConnector;

  /**
   * @param name - name of the server, used as the peer in errors
   * @param url - base address of the server; a call's path is appended to it
   */
  constructor(
    readonly name: string,
    private readonly url: string,
  ) {
    const failureCode = stepError.ErrorCode.BackendFailed;
    this.connector = new httpConnector.HttpConnector({ peer: name, failureCode });
  }

  /** Sends a call; see `ServiceClient.call` for the errors. */
  async call(
    request: types.ServiceRequest,
  ): Promise<neverthrow.Result<types.ServiceAnswer, stepError.StepError>> {
    const { method, path, headers, timeoutMs } = request;
    const answer = await this.connector.exchange("service.call", {
      method,
      url: `${this.url}${path}`,
      headers,
      body: Buffer.from(request.body),
      timeoutMs,
      isNewConnection: request.isIdempotent !== true,
    });
    return answer.map((whole) => ({
      statusCode: whole.statusCode,
      contentType: whole.headers["content-type"] ?? DEFAULT_CONTENT_TYPE,
      body: whole.body,
    }));
  }

  [Symbol.dispose](): void {
    this.connector[Symbol.dispose]();
  }
}
